package forward

import (
	"sync"

	"github.com/cyclamenpoint/cyclamenpoint/retry"
)

// RetryBudgets limits the retries sent to each service. It is safe for concurrent
// use.
type RetryBudgets struct {
	cfg retry.WindowConfig

	mu      sync.Mutex
	nodes   int
	windows map[string]*retry.Window
}

// NewRetryBudgets returns budgets with the same limits for each service.
func NewRetryBudgets(cfg retry.WindowConfig) *RetryBudgets {
	return &RetryBudgets{cfg: cfg, nodes: 1, windows: make(map[string]*retry.Window)}
}

// SetNodes sets the number of entry nodes that share the reserve.
func (b *RetryBudgets) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = n
	for _, w := range b.windows {
		w.SetNodes(n)
	}
}

// windowFor returns the retry window of a service.
func (b *RetryBudgets) windowFor(service string) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windows[service]
	if w == nil {
		w = retry.NewWindow(b.cfg)
		w.SetNodes(b.nodes)
		b.windows[service] = w
	}
	return w
}
