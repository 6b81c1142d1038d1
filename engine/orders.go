package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/cyclamenpoint/cyclamenpoint/mapswitch"
)

// Paths of the interface for orders. An order is a command that an agent gives
// to its engine.
const (
	PathAttach  = "/orders/attach"
	PathOrders  = "/orders"
	PathExperts = "/experts"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of order that make up a switch of expert maps.
const (
	KindHold    OrderKind = "hold"
	KindUse     OrderKind = "use"
	KindRelease OrderKind = "release"
	KindLoad    OrderKind = "load"
	KindLeave   OrderKind = "leave"
	KindForm    OrderKind = "form"
)

// Order is the body of an order. A hold, a use and a release contain the
// complete proposal, a leave only its epoch, a form its epoch, members and map,
// and a load its map and the map's content.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Session is the number that Attach returned. An engine executes only
	// orders of its newest session.
	Session uint64 `json:"session"`
	// Fencing is the fencing token of the sender.
	Fencing  uint64             `json:"fencing"`
	Proposal mapswitch.Proposal `json:"proposal"`
	// Data is the content of the proposal's map.
	Data []byte `json:"data,omitempty"`
}

// AttachResult is the answer to an attachment.
type AttachResult struct {
	Session uint64           `json:"session"`
	Status  mapswitch.Status `json:"status"`
}

// OrderResult is the answer to an order; OK is only used for a hold.
type OrderResult struct {
	OK bool `json:"ok"`
}

// StepResult is the answer to a request for the current step.
type StepResult struct {
	Step uint64 `json:"step"`
}

// ExpertWindow holds an engine's token counts in one window of steps.
type ExpertWindow struct {
	Epoch  uint64 `json:"epoch"`
	Window int64  `json:"window"`
	// Counts is the number of tokens of each expert, ordered by layer, then
	// expert.
	Counts []uint32 `json:"counts"`
}

// ExpertReport is an engine's report on its experts and their load.
type ExpertReport struct {
	Engine  uint64         `json:"engine"`
	Epoch   uint64         `json:"epoch"`
	Step    uint64         `json:"step"`
	InForce mapswitch.Ref  `json:"in_force"`
	Map     []byte         `json:"map,omitempty"`
	Windows []ExpertWindow `json:"windows"`
	// Loaded is the expert in each slot of the engine's memory, ordered by
	// layer, then slot.
	Loaded []uint16 `json:"loaded"`
}

// OrderError reports that an engine answered an order with a status other than
// 200.
type OrderError struct {
	Address string
	Kind    OrderKind
	Status  int
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("engine %s answered %q with status %d", e.Address, e.Kind, e.Status)
}

// OrderClient sends orders to one engine. It implements mapswitch.Attacher and
// is safe for concurrent use.
type OrderClient struct {
	url  string
	http *http.Client
}

var _ mapswitch.Attacher = (*OrderClient)(nil)

// NewOrderClient returns a client of the engine at address.
func NewOrderClient(address string) *OrderClient {
	return &OrderClient{url: "http://" + address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleOrderConns}}}
}

// maxIdleOrderConns limits the idle connections of an OrderClient.
const maxIdleOrderConns = 4

// Attach implements mapswitch.Attacher. It starts a new session.
func (o *OrderClient) Attach(ctx context.Context) (mapswitch.Engine, mapswitch.Status, error) {
	var a AttachResult
	if err := o.call(ctx, http.MethodPost, PathAttach, "attach", nil, &a); err != nil {
		return nil, mapswitch.Status{}, err
	}
	return &session{client: o, number: a.Session}, a.Status, nil
}

// Experts returns the engine's report, with the windows whose number is higher
// than after.
func (o *OrderClient) Experts(ctx context.Context, after int64) (ExpertReport, error) {
	var e ExpertReport
	err := o.call(ctx, http.MethodGet, PathExperts+"?after="+strconv.FormatInt(after, 10), "experts", nil, &e)
	return e, err
}

func (o *OrderClient) call(ctx context.Context, method, path string, kind OrderKind, body, answer any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrapf(err, "encode order %s", kind)
	}
	req, err := http.NewRequestWithContext(ctx, method, o.url+path, bytes.NewReader(text))
	if err != nil {
		return errors.Wrapf(err, "order %s", kind)
	}
	resp, err := o.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "order %s", kind)
	}
	defer func() {
		// The answer has been read, so an error of Close does not matter.
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return &OrderError{Address: o.url, Kind: kind, Status: resp.StatusCode}
	}
	return errors.Wrapf(json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)).Decode(answer), "answer to %s", kind)
}

// session is one attachment to an engine. It implements mapswitch.Engine.
type session struct {
	client *OrderClient
	number uint64
}

func (s *session) sendOrder(ctx context.Context, kind OrderKind, token uint64, p mapswitch.Proposal, data []byte, answer any) error {
	o := Order{Kind: kind, Session: s.number, Fencing: token, Proposal: p, Data: data}
	return s.client.call(ctx, http.MethodPost, PathOrders, kind, o, answer)
}

// Step implements mapswitch.Engine.
func (s *session) Step(ctx context.Context) (uint64, error) {
	var r StepResult
	path := PathOrders + "?session=" + strconv.FormatUint(s.number, 10)
	err := s.client.call(ctx, http.MethodGet, path, "step", nil, &r)
	return r.Step, err
}

// Hold implements mapswitch.Engine.
func (s *session) Hold(ctx context.Context, o mapswitch.OrderHold) (bool, error) {
	var r OrderResult
	err := s.sendOrder(ctx, KindHold, o.Token, o.Proposal, nil, &r)
	return r.OK, err
}

// Use implements mapswitch.Engine.
func (s *session) Use(ctx context.Context, o mapswitch.OrderUse) error {
	return s.sendOrder(ctx, KindUse, o.Token, o.Proposal, nil, &OrderResult{})
}

// Release implements mapswitch.Engine.
func (s *session) Release(ctx context.Context, o mapswitch.OrderRelease) error {
	return s.sendOrder(ctx, KindRelease, o.Token, o.Proposal, nil, &OrderResult{})
}

// Load implements mapswitch.Engine.
func (s *session) Load(ctx context.Context, o mapswitch.OrderLoad) error {
	p := mapswitch.Proposal{Map: o.Map.Ref}
	return s.sendOrder(ctx, KindLoad, o.Token, p, []byte(o.Map.Data), &OrderResult{})
}

// Leave implements mapswitch.Engine.
func (s *session) Leave(ctx context.Context, o mapswitch.OrderLeave) error {
	return s.sendOrder(ctx, KindLeave, o.Token, mapswitch.Proposal{Epoch: o.Epoch}, nil, &OrderResult{})
}

// Form implements mapswitch.Engine.
func (s *session) Form(ctx context.Context, o mapswitch.OrderForm) error {
	p := mapswitch.Proposal{Epoch: o.Record.Epoch, Members: o.Record.Members, Map: o.Record.Map}
	return s.sendOrder(ctx, KindForm, o.Token, p, nil, &OrderResult{})
}
