package main

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	pb "github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1"
	"github.com/cyclamenpoint/cyclamenpoint/gen/cyclamenpoint/v1/cyclamenpointv1connect"
	"github.com/cyclamenpoint/cyclamenpoint/peer"
)

const (
	secretOfMeasure = "secret-of-the-measurement"
	wireCalls       = 400
	// lowerLayers is what the IP and TCP headers of a call add: two segments of
	// data and two acknowledgements of 52 bytes.
	lowerLayers = 4 * 52
)

// answers serves the calls whose bytes are measured.
type answers struct {
	cyclamenpointv1connect.UnimplementedPeerServiceHandler
	cyclamenpointv1connect.UnimplementedAgentServiceHandler
}

// ReportDemand answers with as many organisations as it was told.
func (answers) ReportDemand(_ context.Context, req *connect.Request[pb.ReportDemandRequest]) (*connect.Response[pb.ReportDemandResponse], error) {
	return connect.NewResponse(&pb.ReportDemandResponse{Others: req.Msg.GetDemands()}), nil
}

// Probe answers as a loaded agent.
func (answers) Probe(_ context.Context, req *connect.Request[pb.ProbeRequest]) (*connect.Response[pb.ProbeResponse], error) {
	return connect.NewResponse(&pb.ProbeResponse{
		Endpoint: req.Msg.GetEndpoint(), Incarnation: uint64(time.Now().UnixNano()), Queued: 3, Running: 17, Slots: 64,
		WaitMillis: 140, Matched: 2, Stamp: time.Now().UnixNano(),
	}), nil
}

// wire is a server for peers whose bytes are counted, and a client of it.
type wire struct {
	security *peer.Security
	server   *http.Server
	address  string
	counter  *counter
}

func newWire() (*wire, error) {
	secret, err := peer.NewSecret(secretOfMeasure)
	if err != nil {
		return nil, err
	}
	security, err := peer.NewSecurity(secret, peer.TLSFiles{})
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(cyclamenpointv1connect.NewPeerServiceHandler(answers{}))
	mux.Handle(cyclamenpointv1connect.NewAgentServiceHandler(answers{}))
	w := &wire{security: security, server: security.NewServer(mux), address: l.Addr().String(), counter: &counter{}}
	go func() {
		// Serve returns when close closes the server.
		_ = w.server.Serve(countedListener{Listener: l, counter: w.counter})
	}()
	return w, nil
}

func (w *wire) close() {
	// Nothing is left to do for the server.
	_ = w.server.Close()
}

// callCost is what one call costs.
type callCost struct {
	// bytes are those of both directions, lower layers included.
	bytes float64
	// micros is the processor time of both ends, in microseconds.
	micros float64
}

// measureCall repeats a call over one connection.
func (w *wire) measureCall(call func() error) (callCost, error) {
	// The first call pays for the connection.
	if err := call(); err != nil {
		return callCost{}, err
	}
	bytes, used := w.counter.bytes.Load(), cpu()
	for range wireCalls {
		if err := call(); err != nil {
			return callCost{}, err
		}
	}
	return callCost{
		bytes:  float64(w.counter.bytes.Load()-bytes)/wireCalls + lowerLayers,
		micros: float64((cpu() - used).Microseconds()) / wireCalls,
	}, nil
}

// measureProbes measures one probe and multiplies it by the probes of an entry
// node, eight for a request.
func measureProbes(ctx context.Context, _ *options) ([]*series, error) {
	w, err := newWire()
	if err != nil {
		return nil, err
	}
	defer w.close()
	client := cyclamenpointv1connect.NewAgentServiceClient(&http.Client{Transport: w.security.Transport()}, w.security.BaseURL(w.address))
	const probes = 8
	atEntry := requestRate / entries
	bytes := &series{name: "probe-bytes", x: "requests a second of an entry node", y: "bytes a second, both ways", at: atEntry, limit: limitBytes}
	cores := &series{name: "probe-cpu", x: "requests a second of an entry node", y: "percent of a core at both ends", at: atEntry, limit: limitCorePercent}
	cost, err := w.measureCall(func() error {
		_, err := client.Probe(ctx, connect.NewRequest(&pb.ProbeRequest{Endpoint: "engine-128", Prefixes: []uint64{1 << 60, 1 << 61, 1 << 62}}))
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, rate := range []float64{1, 2, 4, 8} {
		bytes.add(rate, rate*probes*cost.bytes)
		cores.add(rate, rate*probes*cost.micros/1e4)
	}
	return []*series{bytes, cores}, nil
}

const (
	idleWindow = 5 * time.Second
	// pingOverhead is what the IP and TCP headers add to a ping and its answer:
	// two segments, each of which carries an acknowledgement, and one more.
	pingOverhead = 3 * 52
	// pingBytes is the size of a ping and its answer as the counter sees them.
	pingBytes = 2 * 17
)

// measureConnections measures what idle connections between processes cost,
// both ends together: memory, and the pings that show that they live.
func measureConnections(ctx context.Context, _ *options) ([]*series, error) {
	heap := &series{name: "connection-memory", x: "open connections", y: "KB at both ends together", at: processes}
	bytes := &series{name: "connection-bytes", x: "open connections", y: "bytes a second, lower layers included", at: processes}
	cores := &series{name: "connection-cpu", x: "open connections", y: "percent of a core at both ends together", at: processes}
	for _, size := range []int{16, 64, 256, 512} {
		w, err := newWire()
		if err != nil {
			return nil, err
		}
		before := memory()
		transports, err := w.connect(ctx, size)
		if err != nil {
			return nil, err
		}
		heap.add(float64(size), (memory()-before)/1024)
		carried, used, start := w.counter.bytes.Load(), cpu(), time.Now()
		pause(ctx, idleWindow)
		seconds := time.Since(start).Seconds()
		payload := float64(w.counter.bytes.Load()-carried) / seconds
		bytes.add(float64(size), payload*(1+pingOverhead/float64(pingBytes)))
		cores.add(float64(size), 100*(cpu()-used).Seconds()/seconds)
		for _, t := range transports {
			t.CloseIdleConnections()
		}
		w.close()
	}
	return []*series{heap, bytes, cores}, nil
}

// connect opens size connections, each from a process's own set.
func (w *wire) connect(ctx context.Context, size int) ([]*peer.Transport, error) {
	transports := make([]*peer.Transport, size)
	for i := range transports {
		transports[i] = w.security.Transport()
		client := cyclamenpointv1connect.NewPeerServiceClient(&http.Client{Transport: transports[i]}, w.security.BaseURL(w.address))
		if _, err := client.ReportDemand(ctx, connect.NewRequest(&pb.ReportDemandRequest{Entry: strconv.Itoa(i)})); err != nil {
			return nil, err
		}
	}
	return transports, nil
}
