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

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var usage syscall.Rusage
	// Getrusage of the own process fails only for a bad argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the live heap and the stacks, in bytes.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// pause waits, or returns early when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// perOperation returns the time that one call of work takes, over about the
// given time.
func perOperation(atLeast time.Duration, work func(i int)) time.Duration {
	work(0)
	count := 1
	for {
		start := time.Now()
		for i := range count {
			work(i)
		}
		took := time.Since(start)
		if took >= atLeast {
			return took / time.Duration(count)
		}
		count *= 2
	}
}

// counter counts the bytes and the open connections of listeners.
type counter struct {
	bytes, open atomic.Int64
}

// countedListener counts the bytes that its connections carry, both ways.
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

// countedConn is a connection whose bytes are counted.
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
