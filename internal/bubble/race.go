//go:build race

package bubble

import "runtime"

func init() { runtime.GOMAXPROCS(1) }
