package main

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// Getrusage of this process fails only with an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemory returns the size of the live heap and the stacks, in bytes.
func liveMemory() float64 {
	// The contents of a sync.Pool survive one collection.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// sleep returns after d, or earlier if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// timePerCall returns the mean time of one call of work. It doubles the number
// of calls until all of them together take at least the given time.
func timePerCall(atLeast time.Duration, work func(i int)) time.Duration {
	work(0)
	count := 1
	for {
		start := time.Now()
		for i := range count {
			work(i)
		}
		elapsed := time.Since(start)
		if elapsed >= atLeast {
			return elapsed / time.Duration(count)
		}
		count *= 2
	}
}

// counter counts the bytes and the open connections of one or more listeners.
type counter struct {
	bytes, open atomic.Int64
}

// countedListener counts its open connections and the bytes that they carry in both
// directions.
type countedListener struct {
	net.Listener
	counter *counter
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counter.open.Add(1)
	return &countedConn{Conn: conn, counter: l.counter}, nil
}

// countedConn counts the bytes that it carries in both directions.
type countedConn struct {
	net.Conn
	counter *counter
	closed  sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed.Do(func() { c.counter.open.Add(-1) })
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}
