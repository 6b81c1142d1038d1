package peernews

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
)

const (
	// pulsePeriod is the time between two messages to random peers.
	pulsePeriod = 500 * time.Millisecond
	// pullPeriod is the time between two looks whether copies have to come from
	// a peer.
	pullPeriod = 250 * time.Millisecond
	// lagAllowed is how long a copy may stay behind a peer's before it is
	// fetched from there: the store's own word usually comes first.
	lagAllowed = 500 * time.Millisecond
	// pullTimeout bounds the fetching of copies.
	pullTimeout = time.Second
	// relays is how many entry nodes of each failure domain get what all are to
	// know. With two, a domain misses a report only if both are stopped or the
	// datagrams to both get lost; others are drawn for the next one.
	relays = 2
	// lifeShift is where the random part of a datagram's number begins, which tells
	// the lives of a process apart; below it the datagrams of one life are counted.
	lifeShift = 32
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 16 << 10
	// maxCopies bounds the copies that a peer sends, in bytes.
	maxCopies = 8 << 20
	// copiesPath serves copies of the store's tables.
	copiesPath = "/copies"
	// serveTimeout bounds the arrival of a peer's request.
	serveTimeout = 2 * time.Second
)

// Peer exchanges news with the other processes. It is safe for concurrent use.
type Peer struct {
	address   string
	seeds     []string
	registry  *Registry
	followers map[string]*follow.Follower
	log       *slog.Logger
	loads     func([]Load)
	hear      func(Datagram)
	client    *http.Client
	mux       *http.ServeMux
	socket    *net.UDPConn

	mu sync.Mutex
	// behind is, by table, since when a peer is known to have newer rows, and
	// ahead that peer's address.
	behind map[string]time.Time
	ahead  map[string]string
	// spread is the number of the newest datagram that was spread from here, and
	// newest, by sender, that of the newest one that came.
	spread uint64
	newest map[string]uint64
}

// NewPeer returns a peer that listens at address once it runs; loads is called
// with the load reports that arrive.
func NewPeer(address string, seeds []string, registry *Registry, followers []*follow.Follower, log *slog.Logger, loads func([]Load)) *Peer {
	p := &Peer{
		address: address, seeds: seeds, registry: registry, followers: make(map[string]*follow.Follower), log: log, loads: loads,
		client: &http.Client{Timeout: pullTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		mux:    http.NewServeMux(), behind: make(map[string]time.Time), ahead: make(map[string]string), newest: make(map[string]uint64),
		spread: rand.Uint64() << lifeShift,
	}
	for _, f := range followers {
		p.followers[f.Table()] = f
	}
	p.mux.HandleFunc(copiesPath, p.serveCopies)
	return p
}

// Handle adds a handler for peers. It must be called before Run.
func (p *Peer) Handle(path string, h http.HandlerFunc) { p.mux.HandleFunc(path, h) }

// Hear sets a function that gets every datagram. It must be called before Run.
func (p *Peer) Hear(hear func(Datagram)) { p.hear = hear }

// Run listens and exchanges news until the context ends.
func (p *Peer) Run(ctx context.Context) {
	socket, listener, err := p.listen()
	if err != nil {
		p.log.Error("no news from peers, the address cannot be listened at", "address", p.address, "error", err.Error())
		return
	}
	p.mu.Lock()
	p.socket = socket
	p.mu.Unlock()
	server := &http.Server{Handler: p.mux, ReadHeaderTimeout: serveTimeout}
	var duties sync.WaitGroup
	duties.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error("listener for peers ended", "error", err.Error())
		}
	})
	duties.Go(func() { p.receive(socket) })
	p.pulse(ctx)
	// Peers notice the end by themselves.
	_ = socket.Close()
	_ = server.Close()
	duties.Wait()
}

func (p *Peer) listen() (*net.UDPConn, net.Listener, error) {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	addr, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	socket, err := net.ListenUDP("udp", addr)
	return socket, listener, errors.WithStack(err)
}

// pulse sends versions to random peers and fetches copies while the store turns
// this process away.
func (p *Peer) pulse(ctx context.Context) {
	pulses, pulls := time.NewTicker(pulsePeriod), time.NewTicker(pullPeriod)
	defer pulses.Stop()
	defer pulls.Stop()
	for {
		select {
		case <-pulses.C:
			if peer := p.random(); peer != "" {
				p.Send(peer, p.Versions())
			}
		case <-pulls.C:
			p.pull(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Versions returns a datagram that says how new the copies here are.
func (p *Peer) Versions() Datagram {
	d := Datagram{From: p.address, Changed: make(map[string]uint64, len(p.followers))}
	for table, f := range p.followers {
		d.Changed[table] = f.Current().Changed
	}
	return d
}

// random returns the address of a peer, or "" if none is known.
func (p *Peer) random() string {
	var known []string
	for _, n := range p.registry.Nodes() {
		if n.Address != p.address {
			known = append(known, n.Address)
		}
	}
	if len(known) == 0 {
		for _, seed := range p.seeds {
			if seed != p.address {
				known = append(known, seed)
			}
		}
	}
	if len(known) == 0 {
		return ""
	}
	return known[rand.IntN(len(known))]
}

// Send sends a datagram. It may be lost.
func (p *Peer) Send(address string, d Datagram) {
	if data, ok := p.encode(d, forOne); ok {
		p.write(address, data)
	}
}

// Spread sends a datagram to all entry nodes: to some of each failure domain,
// which pass it on within. So neither the sender's work nor the bytes between
// failure domains grow with the number of nodes.
func (p *Peer) Spread(d Datagram) {
	p.mu.Lock()
	p.spread++
	d.Number = p.spread
	p.mu.Unlock()
	data, ok := p.encode(d, forDomain)
	if !ok {
		return
	}
	for _, domain := range p.entries() {
		rand.Shuffle(len(domain), func(i, j int) { domain[i], domain[j] = domain[j], domain[i] })
		for _, address := range domain[:min(relays, len(domain))] {
			p.write(address, data)
		}
	}
}

// entries returns the addresses of the other entry nodes by failure domain.
func (p *Peer) entries() map[string][]string {
	entries := make(map[string][]string)
	for _, n := range p.registry.Nodes() {
		if n.Kind == KindEntry && n.Address != p.address {
			entries[n.FailureDomain] = append(entries[n.FailureDomain], n.Address)
		}
	}
	return entries
}

func (p *Peer) encode(d Datagram, who byte) ([]byte, bool) {
	data, err := d.encode(who)
	if err != nil {
		p.log.Error("datagram cannot be encoded", "error", err.Error())
	}
	return data, err == nil
}

func (p *Peer) write(address string, data []byte) {
	p.mu.Lock()
	socket := p.socket
	p.mu.Unlock()
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil || socket == nil {
		return
	}
	// A datagram that is not sent counts as lost.
	_, _ = socket.WriteToUDP(data, to)
}

func (p *Peer) receive(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		d, who, err := decodeDatagram(buffer[:n])
		if err != nil {
			p.log.Warn("datagram cannot be read", "error", err.Error())
			continue
		}
		if who == forDomain {
			p.passOn(buffer[:n])
		}
		if p.isNew(d) {
			p.take(d)
		}
	}
}

// isNew reports whether a datagram that was spread has not come by another way, and
// none that is newer: an older report would hide what was sent since.
func (p *Peer) isNew(d Datagram) bool {
	if d.Number == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.newest[d.From]
	if sameLife := d.Number>>lifeShift == last>>lifeShift; sameLife && d.Number <= last {
		return false
	}
	p.newest[d.From] = d.Number
	return true
}

// passOn sends a datagram to the other entry nodes of the own failure domain.
func (p *Peer) passOn(data []byte) {
	data[0] = forOne
	for _, address := range p.entries()[p.registry.Self().FailureDomain] {
		p.write(address, data)
	}
}

// take handles one datagram.
func (p *Peer) take(d Datagram) {
	if len(d.Loads) > 0 {
		p.loads(d.Loads)
	}
	if p.hear != nil {
		p.hear(d)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for table, changed := range d.Changed {
		f := p.followers[table]
		if f == nil || changed <= f.Current().Changed {
			continue
		}
		if p.behind[table].IsZero() {
			p.behind[table] = time.Now()
		}
		p.ahead[table] = d.From
	}
}

// pull fetches newer copies from a peer if the store does not bring them.
func (p *Peer) pull(ctx context.Context) {
	from, why := p.lagging()
	if from == "" {
		return
	}
	var copies map[string]follow.Copy
	if err := p.fetch(ctx, from, &copies); err != nil {
		p.log.Warn("no copies from a peer", "peer", from, "error", err.Error())
		return
	}
	for table, c := range copies {
		f := p.followers[table]
		if f != nil && f.InstallIfNewer(c) {
			metric.Adopted.Inc()
			p.log.Info("copy of a table taken from a peer", "table", table, "peer", from, "as_of", c.AsOf, "cause", why)
		}
	}
}

// lagging returns the peer to fetch from, or "" while the copies here are as
// new as any that is known of.
func (p *Peer) lagging() (from, why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for table, since := range p.behind {
		if time.Since(since) >= lagAllowed {
			delete(p.behind, table)
			return p.ahead[table], "a peer has newer rows of " + table
		}
	}
	for _, f := range p.followers {
		if lostAt, _ := f.OutageTimes(); !lostAt.IsZero() && time.Since(lostAt) >= lagAllowed {
			return p.random(), "the store does not answer"
		}
	}
	return "", ""
}

// fetch asks a peer for the tables of which it has newer copies.
func (p *Peer) fetch(ctx context.Context, peer string, copies *map[string]follow.Copy) error {
	body, err := json.Marshal(p.Versions().Changed)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+copiesPath, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &PeerError{Peer: peer, Status: resp.StatusCode}
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxCopies)).Decode(copies))
}

// PeerError says that a peer answered with a failure.
type PeerError struct {
	Peer   string
	Status int
}

// Error implements error.
func (e *PeerError) Error() string { return "peer " + e.Peer + " answered " + strconv.Itoa(e.Status) }

// serveCopies answers a peer that names the newest changes that it knows.
func (p *Peer) serveCopies(w http.ResponseWriter, r *http.Request) {
	var known map[string]uint64
	if err := json.NewDecoder(io.LimitReader(r.Body, maxDatagram)).Decode(&known); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	newer := make(map[string]follow.Copy)
	for table, f := range p.followers {
		if c := f.Current(); c.Changed > known[table] {
			newer[table] = c
		}
	}
	if err := json.NewEncoder(w).Encode(newer); err != nil {
		p.log.Warn("copies not sent to a peer", "peer", r.RemoteAddr, "error", err.Error())
	}
}
