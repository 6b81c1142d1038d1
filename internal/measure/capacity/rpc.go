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
	// sharedSecret is the secret with which nodes authenticate to each other.
	sharedSecret = "secret-of-the-measurement"
	// measuredCalls is the number of calls that a cost is averaged over.
	measuredCalls = 400
	// callHeaderBytes is the size of the IP and TCP headers of a call: two segments
	// with data and two acknowledgements, each with headers of 52 bytes.
	callHeaderBytes = 4 * 52
)

// handlers implements the methods whose costs are measured.
type handlers struct {
	cyclamenpointv1connect.UnimplementedPeerServiceHandler
	cyclamenpointv1connect.UnimplementedAgentServiceHandler
}

// ReportDemand answers with the demands of the request.
func (handlers) ReportDemand(_ context.Context, req *connect.Request[pb.ReportDemandRequest]) (*connect.Response[pb.ReportDemandResponse], error) {
	return connect.NewResponse(&pb.ReportDemandResponse{Others: req.Msg.GetDemands()}), nil
}

// Probe answers like the agent of a loaded endpoint.
func (handlers) Probe(_ context.Context, req *connect.Request[pb.ProbeRequest]) (*connect.Response[pb.ProbeResponse], error) {
	return connect.NewResponse(&pb.ProbeResponse{
		Endpoint: req.Msg.GetEndpoint(), Incarnation: uint64(time.Now().UnixNano()), Queued: 3, Running: 17, Slots: 64,
		WaitMillis: 140, Matched: 2, Stamp: time.Now().UnixNano(),
	}), nil
}

// countedServer is a server for calls between processes. It counts the bytes of its
// connections.
type countedServer struct {
	security *peer.Security
	server   *http.Server
	address  string
	counter  *counter
}

func newCountedServer() (*countedServer, error) {
	secret, err := peer.NewSecret(sharedSecret)
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
	mux.Handle(cyclamenpointv1connect.NewPeerServiceHandler(handlers{}))
	mux.Handle(cyclamenpointv1connect.NewAgentServiceHandler(handlers{}))
	s := &countedServer{security: security, server: security.NewServer(mux), address: l.Addr().String(), counter: &counter{}}
	go func() {
		// Serve returns http.ErrServerClosed after close.
		_ = s.server.Serve(countedListener{Listener: l, counter: s.counter})
	}()
	return s, nil
}

func (s *countedServer) close() {
	// An error of Close leaves nothing to clean up.
	_ = s.server.Close()
}

// callCost is the cost of one call.
type callCost struct {
	// bytes is the number of bytes in both directions, including IP and TCP
	// headers.
	bytes float64
	// micros is the processor time of client and server, in microseconds.
	micros float64
}

// measureCall measures a call by repeating it over one connection.
func (s *countedServer) measureCall(call func() error) (callCost, error) {
	// The first call opens the connection.
	if err := call(); err != nil {
		return callCost{}, err
	}
	bytesBefore, usedBefore := s.counter.bytes.Load(), processorTime()
	for range measuredCalls {
		if err := call(); err != nil {
			return callCost{}, err
		}
	}
	return callCost{
		bytes:  float64(s.counter.bytes.Load()-bytesBefore)/measuredCalls + callHeaderBytes,
		micros: float64((processorTime() - usedBefore).Microseconds()) / measuredCalls,
	}, nil
}

// measureProbes measures the cost of a probe and computes the cost of the
// probes of an entry node, eight for each request.
func measureProbes(ctx context.Context, _ *options) ([]*series, error) {
	s, err := newCountedServer()
	if err != nil {
		return nil, err
	}
	defer s.close()
	client := cyclamenpointv1connect.NewAgentServiceClient(&http.Client{Transport: s.security.Transport()}, s.security.BaseURL(s.address))
	const probesPerRequest = 8
	ratePerEntryNode := requestRate / entryNodes
	bytes := &series{name: "probe-bytes", x: "requests a second of an entry node", y: "bytes a second, both ways", designSize: ratePerEntryNode, limit: limitBytesPerSecond}
	cores := &series{name: "probe-cpu", x: "requests a second of an entry node", y: "percent of a core at both ends", designSize: ratePerEntryNode, limit: limitCorePercent}
	cost, err := s.measureCall(func() error {
		_, err := client.Probe(ctx, connect.NewRequest(&pb.ProbeRequest{Endpoint: "engine-128", Prefixes: []uint64{1 << 60, 1 << 61, 1 << 62}}))
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, rate := range []float64{1, 2, 4, 8} {
		bytes.add(rate, rate*probesPerRequest*cost.bytes)
		cores.add(rate, rate*probesPerRequest*cost.micros/1e4)
	}
	return []*series{bytes, cores}, nil
}

const (
	connectionMeasureTime = 5 * time.Second
	// pingHeaderBytes is the size of the IP and TCP headers of a ping and its
	// answer: two segments with data, each of which acknowledges earlier data, and
	// one acknowledgement, each with headers of 52 bytes.
	pingHeaderBytes = 3 * 52
	// pingBytes is the size of a ping and its answer without these headers.
	pingBytes = 2 * 17
)

// measureConnections measures the cost of idle connections between processes,
// at both ends together: their memory, and the pings that check that they are
// alive.
func measureConnections(ctx context.Context, _ *options) ([]*series, error) {
	heap := &series{name: "connection-memory", x: "open connections", y: "KB at both ends together", designSize: processes}
	bytes := &series{name: "connection-bytes", x: "open connections", y: "bytes a second, lower layers included", designSize: processes}
	cores := &series{name: "connection-cpu", x: "open connections", y: "percent of a core at both ends together", designSize: processes}
	for _, size := range []int{16, 64, 256, 512} {
		s, err := newCountedServer()
		if err != nil {
			return nil, err
		}
		memoryBefore := liveMemory()
		transports, err := s.connect(ctx, size)
		if err != nil {
			return nil, err
		}
		heap.add(float64(size), (liveMemory()-memoryBefore)/1024)
		bytesBefore, usedBefore, start := s.counter.bytes.Load(), processorTime(), time.Now()
		sleep(ctx, connectionMeasureTime)
		seconds := time.Since(start).Seconds()
		payload := float64(s.counter.bytes.Load()-bytesBefore) / seconds
		bytes.add(float64(size), payload*(1+pingHeaderBytes/float64(pingBytes)))
		cores.add(float64(size), 100*(processorTime()-usedBefore).Seconds()/seconds)
		for _, t := range transports {
			t.CloseIdleConnections()
		}
		s.close()
	}
	return []*series{heap, bytes, cores}, nil
}

// connect opens size connections, each with a transport of its own, as from size
// processes.
func (s *countedServer) connect(ctx context.Context, size int) ([]*peer.Transport, error) {
	transports := make([]*peer.Transport, size)
	for i := range transports {
		transports[i] = s.security.Transport()
		client := cyclamenpointv1connect.NewPeerServiceClient(&http.Client{Transport: transports[i]}, s.security.BaseURL(s.address))
		if _, err := client.ReportDemand(ctx, connect.NewRequest(&pb.ReportDemandRequest{Entry: strconv.Itoa(i)})); err != nil {
			return nil, err
		}
	}
	return transports, nil
}
