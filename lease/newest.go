package lease

import (
	"context"
)

// Newest returns the newest fencing token that the named lease has granted to
// any process; zero if it granted none. Errors are those of Table.Get.
func Newest(ctx context.Context, t Table, name string) (uint64, error) {
	l := Lease{key: keyPrefix + name, table: t}
	rec, _, err := l.read(ctx)
	return rec.Token, err
}
