package lease

import (
	"context"
)

// NewestToken returns the newest fencing token that the named lease has granted to
// any process; zero if it granted none. Errors are those of Table.Get.
func NewestToken(ctx context.Context, t Table, name string) (uint64, error) {
	l := Lease{key: keyPrefix + name, table: t}
	rec, _, err := l.read(ctx)
	return rec.Token, err
}
