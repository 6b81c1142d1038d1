package lease

import (
	"context"
)

// NewestToken returns the latest fencing token of the named lease, or zero if it has
// never been granted. Errors are those of Table.Get.
func NewestToken(ctx context.Context, t Table, name string) (uint64, error) {
	l := Lease{key: keyPrefix + name, table: t}
	rec, _, err := l.read(ctx)
	return rec.Token, err
}
