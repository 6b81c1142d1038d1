package operator

import "fmt"

// portsPerAddress is used to derive the last octet of an endpoint's IP address:
// port/portsPerAddress+i. Kinds of endpoints whose ports differ by at least this much
// get different addresses for the same i.
const portsPerAddress = 100

// agentPort is the port of the agents in places that Spread returns.
const agentPort = 7000

// Spread distributes endpoints of a kind over failure domains in round-robin order.
// Each endpoint gets its own VM and its own address.
type Spread struct {
	Region         string
	FailureDomains []string
	// Network is the first two octets of the IP addresses, such as "10.10". The third
	// octet is the index of the failure domain.
	Network string
}

// Place returns the place of the i-th endpoint of a kind, counted from 0. The
// endpoint listens at port.
func (s Spread) Place(kind string, i, port int) Place {
	domain := i % len(s.FailureDomains)
	ip := fmt.Sprintf("%s.%d.%d", s.Network, domain, port/portsPerAddress+i)
	return Place{
		VM:            fmt.Sprintf("%s-vm-%d", kind, i),
		FailureDomain: s.FailureDomains[domain],
		Region:        s.Region,
		Address:       fmt.Sprintf("%s:%d", ip, port),
		Agent:         fmt.Sprintf("%s:%d", ip, agentPort),
	}
}
