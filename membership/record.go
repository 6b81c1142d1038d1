package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// Health is a member's state as seen by the failure detector.
type Health uint8

// The health states. At an equal sequence, a later one overrides an earlier one.
const (
	Alive Health = iota
	Suspect
	Dead
)

var healthNames = [...]string{"alive", "suspect", "dead"}

// String returns the state's name for log lines.
func (h Health) String() string {
	return healthNames[min(int(h), len(healthNames)-1)]
}

// Kind is the kind of a process.
type Kind uint8

// The kinds of process.
const (
	// KindEntry is an entry node.
	KindEntry Kind = iota + 1
	// KindAgent is an agent, which runs beside an endpoint.
	KindAgent
)

// Record is the replicated state of a process.
type Record struct {
	// Name identifies the process; an agent has the name of its endpoint.
	Name string
	// Address is the IP:port at which the process listens.
	Address string
	// FailureDomain, Region and VM are where the process runs.
	FailureDomain, Region, VM string
	Kind                      Kind
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// Sequence grows within an incarnation. Only the process itself raises it.
	Sequence uint64
	Health   Health
	// Leaving is true once the process accepts no new work. It never becomes false
	// again within an incarnation.
	Leaving bool
}

// Merge merges two records of one process. It is commutative, associative and
// idempotent, so that updates may arrive late, more than once and in any order.
// A record of a higher incarnation replaces one of a lower incarnation entirely.
func Merge(a, b Record) Record {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	winner := a
	if b.Sequence > a.Sequence || b.Sequence == a.Sequence && b.Health > a.Health {
		winner = b
	}
	winner.Leaving = a.Leaving || b.Leaving
	return winner
}

// hash covers the name and the fields that change within a process's lifetime.
func (r *Record) hash() uint64 {
	var b [18]byte
	binary.LittleEndian.PutUint64(b[:], r.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], r.Sequence)
	b[16] = byte(r.Health)
	if r.Leaving {
		b[17] = 1
	}
	d := xxhash.New()
	// Writes to an xxhash.Digest never fail.
	_, _ = d.WriteString(r.Name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

func (r *Record) message() *cyclamenpointv1.Member {
	return &cyclamenpointv1.Member{
		Name:          r.Name,
		Address:       r.Address,
		FailureDomain: r.FailureDomain,
		Region:        r.Region,
		Vm:            r.VM,
		Kind:          cyclamenpointv1.MemberKind(r.Kind),
		Incarnation:   r.Incarnation,
		Sequence:      r.Sequence,
		Health:        cyclamenpointv1.Health(r.Health + 1),
		Leaving:       r.Leaving,
	}
}

// maxCounter bounds incarnations and sequences received from other processes,
// so that incrementing one never overflows.
const maxCounter = 1 << 62

// recordOf decodes a record from another process. It reports false if the name
// is empty, the health state is unknown or a counter is out of bounds.
func recordOf(m *cyclamenpointv1.Member) (Record, bool) {
	health := m.GetHealth() - 1
	if m.GetName() == "" || health < 0 || health > cyclamenpointv1.Health(Dead) {
		return Record{}, false
	}
	if m.GetIncarnation() > maxCounter || m.GetSequence() > maxCounter {
		return Record{}, false
	}
	return Record{
		Name:          m.GetName(),
		Address:       m.GetAddress(),
		FailureDomain: m.GetFailureDomain(),
		Region:        m.GetRegion(),
		VM:            m.GetVm(),
		Kind:          Kind(m.GetKind()),
		Incarnation:   m.GetIncarnation(),
		Sequence:      m.GetSequence(),
		Health:        Health(health),
		Leaving:       m.GetLeaving(),
	}, true
}
