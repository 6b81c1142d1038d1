package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	cyclamenpointv1 "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
)

// Health is what is believed of a member.
type Health uint8

// The states of health, in the order in which they win at an equal sequence.
const (
	Alive Health = iota
	Suspect
	Dead
)

var healthNames = [...]string{"alive", "suspect", "dead"}

// String returns the state as the log prints it.
func (h Health) String() string {
	return healthNames[min(int(h), len(healthNames)-1)]
}

// Kind says what a process is.
type Kind uint8

// The kinds of process.
const (
	KindEntry Kind = iota + 1
	KindAgent
)

// Record is what is known of a process.
type Record struct {
	// Name identifies the process; an agent has its endpoint's name.
	Name string
	// Address is where the process serves, as IP:port.
	Address string
	// FailureDomain, Region and VM say where it runs.
	FailureDomain, Region, VM string
	// Kind says what the process is.
	Kind Kind
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// Sequence grows within an incarnation. Only the process itself raises it.
	Sequence uint64
	// Health is what is believed of the process.
	Health Health
	// Leaving never turns back within an incarnation.
	Leaving bool
}

// Merge joins two records of one process. It is commutative, associative and
// idempotent, so news may come late, twice and in any order. A higher
// incarnation replaces a lower one whole.
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

// hash covers what changes of a record.
func (r *Record) hash() uint64 {
	var b [18]byte
	binary.LittleEndian.PutUint64(b[:], r.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], r.Sequence)
	b[16] = byte(r.Health)
	if r.Leaving {
		b[17] = 1
	}
	d := xxhash.New()
	// A Digest's writes never fail.
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

// maxCounter bounds incarnations and sequences from other processes, so that
// raising one never overflows.
const maxCounter = 1 << 62

// recordOf reads a message from another process. It reports false when the
// message names no process or no known state, or when a counter is out of
// bounds.
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
