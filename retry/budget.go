package retry

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Defaults of BudgetConfig.
const (
	// DefaultRatio is the default number of retries that a first attempt adds to
	// the budget.
	DefaultRatio = 0.08
	// DefaultNodeReserve is the default maximum balance of a node, in retries.
	DefaultNodeReserve = 5
	// DefaultOrganisationReserve is the default maximum balance of an
	// organisation at one node, in retries.
	DefaultOrganisationReserve = 2
	// DefaultOrganisations is the default number of organisations whose balance
	// a node stores.
	DefaultOrganisations = 1024
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Ratio is the number of retries that a first attempt adds to the budget,
	// from 0 to 1.
	Ratio float64
	// NodeReserve and OrganisationReserve are the maximum and initial balances
	// of the node and of each organisation, in retries.
	NodeReserve         float64
	OrganisationReserve float64
	// Organisations is the number of organisations whose balance is stored. The
	// least recently used one is evicted; it starts again with
	// OrganisationReserve.
	Organisations int
}

// Budget limits the retries of one node. For n first attempts it allows at most
// n*Ratio + NodeReserve retries, whatever fails. Each organisation also has a
// balance of its own, so that one cannot use up the retries of the others. It is
// safe for concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu          sync.Mutex
	nodeBalance float64
	balances    *simplelru.LRU[string, *float64]
}

// NewBudget returns a budget whose balances equal the reserves.
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
	balances, err := simplelru.NewLRU[string, *float64](cfg.Organisations, nil)
	if err != nil {
		return nil, &ConfigError{Field: "organisations", Value: float64(cfg.Organisations)}
	}
	return &Budget{cfg: cfg, nodeBalance: cfg.NodeReserve, balances: balances}, nil
}

// Deposit adds Ratio to the balances for the first attempt of a request.
func (b *Budget) Deposit(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.organisationBalance(organisation)
	*balance = min(*balance+b.cfg.Ratio, b.cfg.OrganisationReserve)
	b.nodeBalance = min(b.nodeBalance+b.cfg.Ratio, b.cfg.NodeReserve)
}

// TryWithdraw withdraws one retry from the balances. It returns false if a balance is
// below one.
func (b *Budget) TryWithdraw(organisation string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.organisationBalance(organisation)
	if *balance < 1 || b.nodeBalance < 1 {
		return false
	}
	*balance--
	b.nodeBalance--
	return true
}

// Balance returns the number of retries that the node has left.
func (b *Budget) Balance() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodeBalance
}

func (b *Budget) organisationBalance(name string) *float64 {
	if balance, ok := b.balances.Get(name); ok {
		return balance
	}
	balance := b.cfg.OrganisationReserve
	b.balances.Add(name, &balance)
	return &balance
}
