package gossip

import (
	"bytes"
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
)

// FuzzDatagram: no datagram ends the process, whatever its first byte says it is.
func FuzzDatagram(f *testing.F) {
	data, err := Datagram{From: "10.0.0.1:7000", TableVersions: map[string]follow.Position{"t": {Era: 2, Version: 7}}, ExpertDemand: PackCounts([]uint32{0, 4, 9})}.encode(forReceiver)
	assert.NilError(f, err)
	f.Add(data)
	for audience := range byte(8) {
		f.Add([]byte{audience})
		f.Add([]byte{audience, 0x9f, 0xff})
		f.Add([]byte{audience, 0xa3, 0x65, 't', 'a', 'b', 'l', 'e', 0x61, 't', 0x65, 'a', 's', '_', 'o', 'f', 0x82, 0x00, 0x09})
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	r := NewRegistry("nodes", nil, Node{}, log, func([]Node) {})
	table := follow.New("t", nil, follow.Timing{}, log, func(follow.Copy) {})
	g := NewGossiper("127.0.0.1:1", nil, r, []*follow.Follower{table}, log, func([]Load) {})
	g.OnNote(func([]byte) {})
	g.OnDatagram(func(d Datagram) { d.ExpertDemand.Counts() })
	f.Fuzz(func(_ *testing.T, data []byte) {
		data = bytes.Clone(data)
		if len(data) > 0 {
			switch data[0] {
			case noteForReceiver, noteForDomain:
				g.receiveNote(data)
			case confirmationForReceiver, confirmationForDomain:
				g.receiveConfirmation(data)
			}
		}
		if d, _, err := decodeDatagram(data); err == nil && g.isNew(d) {
			g.handle(d)
		}
	})
}
