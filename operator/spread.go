package operator

import "fmt"

// addressesPerPort is how far apart the addresses of two ports lie.
const addressesPerPort = 100

// agentPort is where agents listen unless a place says otherwise.
const agentPort = 7000

// Spread places endpoints of the same kind over failure domains in turn. It
// gives each a VM and an address of its own.
type Spread struct {
	Region         string
	FailureDomains []string
	// Network is the first half of the IP numbers, such as "10.10"; the third
	// part counts the failure domains.
	Network string
}

// Place returns the place of the i-th endpoint of a kind, which listens at port.
func (s Spread) Place(kind string, i, port int) Place {
	domain := i % len(s.FailureDomains)
	ip := fmt.Sprintf("%s.%d.%d", s.Network, domain, port/addressesPerPort+i)
	return Place{
		VM:            fmt.Sprintf("%s-vm-%d", kind, i),
		FailureDomain: s.FailureDomains[domain],
		Region:        s.Region,
		Address:       fmt.Sprintf("%s:%d", ip, port),
		Agent:         fmt.Sprintf("%s:%d", ip, agentPort),
	}
}
