package gossip

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

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/cyclamenpoint/cyclamenpoint/follow"
	"github.com/cyclamenpoint/cyclamenpoint/metric"
)

const (
	// versionsInterval is the time between two datagrams to random peers with the
	// versions of this process's copies.
	versionsInterval = 500 * time.Millisecond
	// pullInterval is the time between two checks whether copies must be fetched
	// from a peer.
	pullInterval = 250 * time.Millisecond
	// maxLag is how long a copy may be older than a peer's before it is fetched
	// from that peer. Usually the update arrives from the store within this time.
	maxLag = 500 * time.Millisecond
	// pullTimeout bounds the fetching of copies.
	pullTimeout = time.Second
	// relaysPerDomain is the number of entry nodes in each failure domain that
	// receive a broadcast and relay it. With two, a domain misses a broadcast only
	// if both are stopped or the datagrams to both are lost; the next broadcast
	// goes to other random nodes.
	relaysPerDomain = 2
	// startIDShift is the lowest bit of the random part of a sequence number, which
	// identifies a start of the process. The bits below count its broadcasts.
	startIDShift = 32
	// maxDatagramBytes bounds a datagram.
	maxDatagramBytes = 16 << 10
	// maxCopiesBytes bounds a peer's response with copies.
	maxCopiesBytes = 8 << 20
	// maxCopiesSent bounds the responses with copies that are sent at the same time. A peer
	// that does not read occupies one for requestTimeout at most.
	maxCopiesSent = 8
	// MaxHeadBytes bounds the head of a peer's response or request.
	MaxHeadBytes = 16 << 10
	// copiesPath is the path that serves copies of the store's tables to peers.
	copiesPath = "/copies"
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 2 * time.Second
	// requestTimeout bounds the reading of a request and the writing of its response. It
	// exceeds the time for which handlers work on a request, 8 s.
	requestTimeout = 10 * time.Second
	// idleTimeout is how long a connection from a peer stays idle. Peers with connections
	// that they use again send on them much more often.
	idleTimeout = 30 * time.Second
)

// Gossiper exchanges load reports and copies of tables with the other processes.
// It is safe for concurrent use.
type Gossiper struct {
	address    string
	seeds      []string
	registry   *Registry
	followers  map[string]*follow.Follower
	log        *slog.Logger
	onLoads    func([]Load)
	onDatagram func(Datagram)
	onNote     func([]byte)
	client     *http.Client
	mux        *http.ServeMux
	socket     *net.UDPConn
	limit      ListenerLimit
	// copiesSent limits the responses with copies that are encoded at the same time.
	copiesSent *semaphore.Weighted

	mu sync.Mutex
	// behindSince is the time at which a peer first reported a newer copy of a
	// table, and newerPeer that peer's address, both by table.
	behindSince map[string]time.Time
	newerPeer   map[string]string
	// sequence is the sequence number of the last broadcast from this process, and
	// lastSequence that of the last one received from each sender.
	sequence     uint64
	lastSequence map[string]uint64
}

// ListenerLimit limits the connections of a listener that a server is to serve.
type ListenerLimit func(net.Listener, *http.Server) net.Listener

// NewGossiper returns a Gossiper that listens at address once it runs. onLoads is
// called with each load report that arrives.
func NewGossiper(address string, seeds []string, registry *Registry, followers []*follow.Follower, log *slog.Logger, onLoads func([]Load)) *Gossiper {
	g := &Gossiper{
		address: address, seeds: seeds, registry: registry, followers: make(map[string]*follow.Follower), log: log, onLoads: onLoads,
		client: &http.Client{Timeout: pullTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: MaxHeadBytes}},
		mux:    http.NewServeMux(), behindSince: make(map[string]time.Time), newerPeer: make(map[string]string), lastSequence: make(map[string]uint64),
		sequence: rand.Uint64() << startIDShift, copiesSent: semaphore.NewWeighted(maxCopiesSent),
	}
	for _, f := range followers {
		g.followers[f.Table()] = f
		f.OnVerified(g.broadcastConfirmation)
	}
	g.mux.HandleFunc(copiesPath, g.serveCopies)
	return g
}

// Handle adds an HTTP handler for peers. It must be called before Run.
func (g *Gossiper) Handle(path string, h http.HandlerFunc) { g.mux.HandleFunc(path, h) }

// LimitConnections sets the limit of connections from peers. It must be called before Run.
func (g *Gossiper) LimitConnections(limit ListenerLimit) { g.limit = limit }

// OnDatagram sets a function that is called with every datagram received. It must
// be called before Run.
func (g *Gossiper) OnDatagram(handle func(Datagram)) { g.onDatagram = handle }

// OnNote sets a function that is called with every note received. It must be called
// before Run.
func (g *Gossiper) OnNote(handle func([]byte)) { g.onNote = handle }

// SendNote sends a note to one process. Its contents are the sender's and the receiver's
// alone. Delivery is not guaranteed.
func (g *Gossiper) SendNote(address string, note []byte) {
	g.write(address, append([]byte{noteForReceiver}, note...))
}

// BroadcastNote sends a note to all entry nodes, as Broadcast does. A node may get it more
// than once.
func (g *Gossiper) BroadcastNote(note []byte) {
	g.writeToDomains(append([]byte{noteForDomain}, note...))
}

// RandomEntry returns the address of another entry node, or of a seed if none is in the
// registry. It returns "" if there is neither.
func (g *Gossiper) RandomEntry() string {
	return g.randomAddress(func(n Node) bool { return n.Kind == KindEntry })
}

// Run listens and exchanges datagrams until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	socket, listener, err := g.listen()
	if err != nil {
		g.log.Error("cannot listen for peers, gossip is disabled", "address", g.address, "error", err.Error())
		return
	}
	g.mu.Lock()
	g.socket = socket
	g.mu.Unlock()
	server := &http.Server{
		Handler: g.mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: MaxHeadBytes,
	}
	if g.limit != nil {
		listener = g.limit(listener, server)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("HTTP server for peers failed", "error", err.Error())
		}
	})
	wg.Go(func() { g.receive(socket) })
	g.exchange(ctx)
	// The process is stopping, so errors on close don't matter.
	_ = socket.Close()
	_ = server.Close()
	wg.Wait()
}

// listen opens the UDP and the TCP socket at the process's address.
func (g *Gossiper) listen() (*net.UDPConn, net.Listener, error) {
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	addr, err := net.ResolveUDPAddr("udp", g.address)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	socket, err := net.ListenUDP("udp", addr)
	return socket, listener, errors.WithStack(err)
}

// exchange periodically sends the versions of this process's copies to a random
// peer, and fetches newer copies from peers while the store does not provide
// them.
func (g *Gossiper) exchange(ctx context.Context) {
	versions, pull := time.NewTicker(versionsInterval), time.NewTicker(pullInterval)
	defer versions.Stop()
	defer pull.Stop()
	for {
		select {
		case <-versions.C:
			if peer := g.randomPeer(); peer != "" {
				g.Send(peer, g.Versions())
			}
		case <-pull.C:
			g.pull(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Versions returns a datagram with the version of each of this process's copies.
func (g *Gossiper) Versions() Datagram {
	d := Datagram{From: g.address, TableVersions: make(map[string]follow.Position, len(g.followers))}
	for table, f := range g.followers {
		d.TableVersions[table] = f.Current().Changed
	}
	return d
}

// randomPeer returns the address of a random peer, or of a random seed if there
// is no peer in the registry. It returns "" if there is neither.
func (g *Gossiper) randomPeer() string {
	return g.randomAddress(func(Node) bool { return true })
}

func (g *Gossiper) randomAddress(accept func(Node) bool) string {
	var known []string
	for _, n := range g.registry.Nodes() {
		if n.Address != g.address && accept(n) {
			known = append(known, n.Address)
		}
	}
	if len(known) == 0 {
		for _, seed := range g.seeds {
			if seed != g.address {
				known = append(known, seed)
			}
		}
	}
	if len(known) == 0 {
		return ""
	}
	return known[rand.IntN(len(known))]
}

// Send sends a datagram to one process. Delivery is not guaranteed.
func (g *Gossiper) Send(address string, d Datagram) {
	if data, ok := g.encode(d, forReceiver); ok {
		g.write(address, data)
	}
}

// Broadcast sends a datagram to all entry nodes. It sends it to a few in each
// failure domain, which relay it to the others there, so that neither the
// sender's cost nor the traffic between failure domains grows with the number of
// nodes.
func (g *Gossiper) Broadcast(d Datagram) {
	g.mu.Lock()
	g.sequence++
	d.Sequence = g.sequence
	g.mu.Unlock()
	data, ok := g.encode(d, forDomain)
	if !ok {
		return
	}
	g.writeToDomains(data)
}

// writeToDomains writes a datagram to a few entry nodes of each failure domain.
func (g *Gossiper) writeToDomains(data []byte) {
	for _, domain := range g.entriesByDomain() {
		rand.Shuffle(len(domain), func(i, j int) { domain[i], domain[j] = domain[j], domain[i] })
		for _, address := range domain[:min(relaysPerDomain, len(domain))] {
			g.write(address, data)
		}
	}
}

// entriesByDomain returns the addresses of the other entry nodes by failure
// domain.
func (g *Gossiper) entriesByDomain() map[string][]string {
	entries := make(map[string][]string)
	for _, n := range g.registry.Nodes() {
		if n.Kind == KindEntry && n.Address != g.address {
			entries[n.FailureDomain] = append(entries[n.FailureDomain], n.Address)
		}
	}
	return entries
}

func (g *Gossiper) encode(d Datagram, audience byte) ([]byte, bool) {
	data, err := d.encode(audience)
	if err != nil {
		g.log.Error("cannot encode datagram", "error", err.Error())
	}
	return data, err == nil
}

func (g *Gossiper) write(address string, data []byte) {
	g.mu.Lock()
	socket := g.socket
	g.mu.Unlock()
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil || socket == nil {
		return
	}
	// A datagram that cannot be sent is treated as lost.
	_, _ = socket.WriteToUDP(data, to)
}

// receive handles datagrams until the socket is closed.
func (g *Gossiper) receive(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if n > 0 && (buffer[0] == noteForReceiver || buffer[0] == noteForDomain) {
			g.receiveNote(buffer[:n])
			continue
		}
		if n > 0 && (buffer[0] == confirmationForReceiver || buffer[0] == confirmationForDomain) {
			g.receiveConfirmation(buffer[:n])
			continue
		}
		d, audience, err := decodeDatagram(buffer[:n])
		if err != nil {
			g.log.Warn("cannot decode datagram", "error", err.Error())
			continue
		}
		if audience == forDomain {
			buffer[0] = forReceiver
			g.relay(buffer[:n])
		}
		if g.isNew(d) {
			g.handle(d)
		}
	}
}

// receiveNote relays a note if it is for the failure domain, and handles it.
func (g *Gossiper) receiveNote(data []byte) {
	if data[0] == noteForDomain {
		data[0] = noteForReceiver
		g.relay(data)
	}
	if g.onNote != nil {
		g.onNote(data[1:])
	}
}

// broadcastConfirmation sends a confirmation to all entry nodes, so that one call to the
// store verifies the copies of all of them.
func (g *Gossiper) broadcastConfirmation(c follow.Confirmation) {
	data, err := cbor.Marshal(c)
	if err != nil {
		g.log.Error("cannot encode a confirmation", "error", err.Error())
		return
	}
	g.writeToDomains(append([]byte{confirmationForDomain}, data...))
}

// receiveConfirmation relays a confirmation if it is for the failure domain, and passes
// it to the table's follower.
func (g *Gossiper) receiveConfirmation(data []byte) {
	if data[0] == confirmationForDomain {
		data[0] = confirmationForReceiver
		g.relay(data)
	}
	var c follow.Confirmation
	if err := cbor.Unmarshal(data[1:], &c); err != nil {
		g.log.Warn("cannot decode a confirmation", "error", err.Error())
		return
	}
	if f := g.followers[c.Table]; f != nil {
		f.Confirm(c)
	}
}

// isNew reports whether no copy of a broadcast and no newer broadcast of the same
// sender has arrived: an older report must not replace a newer one. It is always
// true for datagrams that are not broadcast.
func (g *Gossiper) isNew(d Datagram) bool {
	if d.Sequence == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.lastSequence[d.From]
	if sameStart := d.Sequence>>startIDShift == last>>startIDShift; sameStart && d.Sequence <= last {
		return false
	}
	g.lastSequence[d.From] = d.Sequence
	return true
}

// relay sends a broadcast to the other entry nodes in this process's failure
// domain.
func (g *Gossiper) relay(data []byte) {
	for _, address := range g.entriesByDomain()[g.registry.Self().FailureDomain] {
		g.write(address, data)
	}
}

// handle passes a datagram to the callbacks and records which copies are older
// than the sender's.
func (g *Gossiper) handle(d Datagram) {
	if len(d.Loads) > 0 {
		g.onLoads(d.Loads)
	}
	if g.onDatagram != nil {
		g.onDatagram(d)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for table, changed := range d.TableVersions {
		f := g.followers[table]
		if f == nil || !changed.After(f.Current().Changed) {
			continue
		}
		if g.behindSince[table].IsZero() {
			g.behindSince[table] = time.Now()
		}
		g.newerPeer[table] = d.From
	}
}

// pull fetches newer copies from a peer if pullSource returns one.
func (g *Gossiper) pull(ctx context.Context) {
	from, cause := g.pullSource()
	if from == "" {
		return
	}
	var copies map[string]follow.Copy
	if err := g.fetchCopies(ctx, from, &copies); err != nil {
		g.log.Warn("cannot fetch copies from a peer", "peer", from, "error", err.Error())
		return
	}
	for table, c := range copies {
		f := g.followers[table]
		if f != nil && f.InstallIfNewer(c) {
			metric.CopiesFromPeers.Inc()
			g.log.Info("copied a table from a peer", "table", table, "peer", from, "as_of", c.AsOf, "cause", cause)
		}
	}
}

// pullSource returns the peer to fetch copies from and the reason. It returns ""
// unless a peer reported a newer copy at least maxLag ago, or the store has not
// answered for that time.
func (g *Gossiper) pullSource() (from, cause string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for table, since := range g.behindSince {
		if time.Since(since) >= maxLag {
			delete(g.behindSince, table)
			return g.newerPeer[table], "a peer has newer rows of " + table
		}
	}
	for _, f := range g.followers {
		if lostAt, _ := f.OutageTimes(); !lostAt.IsZero() && time.Since(lostAt) >= maxLag {
			return g.randomPeer(), "the store does not answer"
		}
	}
	return "", ""
}

// fetchCopies fetches from a peer the tables of which it has newer copies.
func (g *Gossiper) fetchCopies(ctx context.Context, peer string, copies *map[string]follow.Copy) error {
	body, err := json.Marshal(g.Versions().TableVersions)
	if err != nil {
		return errors.WithStack(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+copiesPath, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &PeerError{Peer: peer, Status: resp.StatusCode}
	}
	return errors.WithStack(json.NewDecoder(io.LimitReader(resp.Body, maxCopiesBytes)).Decode(copies))
}

// PeerError reports an HTTP response from a peer with an unexpected status.
type PeerError struct {
	Peer   string
	Status int
}

// Error implements error.
func (e *PeerError) Error() string { return "peer " + e.Peer + " answered " + strconv.Itoa(e.Status) }

// serveCopies responds with the copies that are newer than the versions in the
// request.
func (g *Gossiper) serveCopies(w http.ResponseWriter, r *http.Request) {
	var known map[string]follow.Position
	if err := json.NewDecoder(io.LimitReader(r.Body, maxDatagramBytes)).Decode(&known); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := g.copiesSent.Acquire(r.Context(), 1); err != nil {
		// The peer has disconnected.
		return
	}
	defer g.copiesSent.Release(1)
	newer := make(map[string]follow.Copy)
	for table, f := range g.followers {
		if c := f.Current(); c.Changed.After(known[table]) {
			newer[table] = c
		}
	}
	if err := json.NewEncoder(w).Encode(newer); err != nil {
		g.log.Warn("cannot send copies to a peer", "peer", r.RemoteAddr, "error", err.Error())
	}
}
