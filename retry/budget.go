package retry

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Default bounds of a budget.
const (
	// DefaultRatio is the number of retries that each first attempt earns.
	DefaultRatio = 0.08
	// DefaultNodeReserve is the number of retries that a node can save up.
	DefaultNodeReserve = 5
	// DefaultOrganisationReserve is the number of retries that an organisation
	// can save up at a node.
	DefaultOrganisationReserve = 2
	// DefaultOrganisations is the number of organisations that a node remembers.
	DefaultOrganisations = 1024
)

// BudgetConfig bounds a budget.
type BudgetConfig struct {
	// Ratio is the number of retries that a first attempt earns, from 0 to 1.
	Ratio float64
	// NodeReserve and OrganisationReserve are the most retries that can be
	// saved up, and the balance to begin with.
	NodeReserve         float64
	OrganisationReserve float64
	// Organisations bounds the organisations remembered. A forgotten one begins
	// anew with its reserve.
	Organisations int
}

// Budget bounds the retries of one node. Of n first attempts at most
// n*Ratio + NodeReserve retries are allowed, whatever fails; the organisations'
// balances share these out. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu   sync.Mutex
	node float64
	orgs *simplelru.LRU[string, *float64]
}

// NewBudget returns a budget that holds its reserves.
func NewBudget(cfg BudgetConfig) (*Budget, error) {
	if cfg.Ratio < 0 || cfg.Ratio > 1 {
		return nil, &ConfigError{Field: "ratio", Value: cfg.Ratio}
	}
	if cfg.NodeReserve < 1 {
		return nil, &ConfigError{Field: "node_reserve", Value: cfg.NodeReserve}
	}
	if cfg.OrganisationReserve < 1 {
		return nil, &ConfigError{Field: "organisation_reserve", Value: cfg.OrganisationReserve}
	}
	orgs, err := simplelru.NewLRU[string, *float64](cfg.Organisations, nil)
	if err != nil {
		return nil, &ConfigError{Field: "organisations", Value: float64(cfg.Organisations)}
	}
	return &Budget{cfg: cfg, node: cfg.NodeReserve, orgs: orgs}, nil
}

// Deposit records the first attempt of a request.
func (b *Budget) Deposit(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	org := b.organisation(organisation)
	*org = min(*org+b.cfg.Ratio, b.cfg.OrganisationReserve)
	b.node = min(b.node+b.cfg.Ratio, b.cfg.NodeReserve)
}

// TryWithdraw takes one retry and reports whether the budget allowed it.
func (b *Budget) TryWithdraw(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	org := b.organisation(organisation)
	if *org < 1 || b.node < 1 {
		return false
	}
	*org--
	b.node--
	return true
}

// Balance returns the retries that the node has left.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.node
}

func (b *Budget) organisation(name string) *float64 {
	if org, ok := b.orgs.Get(name); ok {
		return org
	}
	org := b.cfg.OrganisationReserve
	b.orgs.Add(name, &org)
	return &org
}
