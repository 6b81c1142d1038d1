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

// Paths of an engine's orders.
const (
	PathAttach  = "/orders/attach"
	PathOrders  = "/orders"
	PathExperts = "/experts"
)

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of order that a switch of expert maps takes.
const (
	KindHold    OrderKind = "hold"
	KindUse     OrderKind = "use"
	KindRelease OrderKind = "release"
	KindLoad    OrderKind = "load"
	KindLeave   OrderKind = "leave"
	KindForm    OrderKind = "form"
)

// Order is the body of an order. A hold, a use and a release name the whole
// proposal; a leave its epoch; a form its epoch, members and map; a load the
// map and its content.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Session is what the attachment returned. An engine carries out no order
	// of an earlier session than its newest.
	Session uint64 `json:"session"`
	// Fencing is the orderer's fencing token.
	Fencing  uint64             `json:"fencing"`
	Proposal mapswitch.Proposal `json:"proposal"`
	// Data is the content of the proposal's map.
	Data []byte `json:"data,omitempty"`
}

// AttachResult answers an attachment.
type AttachResult struct {
	Session uint64           `json:"session"`
	Status  mapswitch.Status `json:"status"`
}

// HoldResult answers a hold.
type HoldResult struct {
	OK bool `json:"ok"`
}

// StepResult answers a reading of the step.
type StepResult struct {
	Step uint64 `json:"step"`
}

// ExpertWindow is what an engine has counted in one window of steps.
type ExpertWindow struct {
	Epoch  uint64 `json:"epoch"`
	Window int64  `json:"window"`
	// Counts are tokens, ordered by layer, then expert.
	Counts []uint32 `json:"counts"`
}

// ExpertReport is an engine's report on its experts.
type ExpertReport struct {
	Engine  uint64         `json:"engine"`
	Epoch   uint64         `json:"epoch"`
	Step    uint64         `json:"step"`
	InForce mapswitch.Ref  `json:"in_force"`
	Map     []byte         `json:"map,omitempty"`
	Windows []ExpertWindow `json:"windows"`
	// Loaded is what the engine has in its memory, ordered by layer, then slot.
	Loaded []uint16 `json:"loaded"`
}

// OrderError says that an engine did not take an order.
type OrderError struct {
	Address string
	Kind    OrderKind
	Status  int
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("engine %s answered %q with status %d", e.Address, e.Kind, e.Status)
}

// OrderClient is the way of orders to one engine. It implements mapswitch.Attacher
// and may be used by any number of goroutines.
type OrderClient struct {
	url  string
	http *http.Client
}

var _ mapswitch.Attacher = (*OrderClient)(nil)

// NewOrderClient returns the way of orders to the engine at address.
func NewOrderClient(address string) *OrderClient {
	return &OrderClient{url: "http://" + address, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: ordersIdle}}}
}

const ordersIdle = 4

// Attach implements mapswitch.Attacher.
func (o *OrderClient) Attach(ctx context.Context) (mapswitch.Engine, mapswitch.Status, error) {
	var a AttachResult
	if err := o.call(ctx, http.MethodPost, PathAttach, "attach", nil, &a); err != nil {
		return nil, mapswitch.Status{}, err
	}
	return &session{orders: o, number: a.Session}, a.Status, nil
}

// Experts returns the engine's report with the windows after the given one.
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
		// The answer has been read.
		_ = resp.Body.Close()
	}()
	if resp.StatusCode != http.StatusOK {
		return &OrderError{Address: o.url, Kind: kind, Status: resp.StatusCode}
	}
	return errors.Wrapf(json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAnswerBytes)).Decode(answer), "answer to %s", kind)
}

// session is one attachment.
type session struct {
	orders *OrderClient
	number uint64
}

func (s *session) order(ctx context.Context, kind OrderKind, token uint64, p mapswitch.Proposal, data []byte, answer any) error {
	o := Order{Kind: kind, Session: s.number, Fencing: token, Proposal: p, Data: data}
	return s.orders.call(ctx, http.MethodPost, PathOrders, kind, o, answer)
}

// Step implements mapswitch.Engine.
func (s *session) Step(ctx context.Context) (uint64, error) {
	var r StepResult
	path := PathOrders + "?session=" + strconv.FormatUint(s.number, 10)
	err := s.orders.call(ctx, http.MethodGet, path, "step", nil, &r)
	return r.Step, err
}

// Hold implements mapswitch.Engine.
func (s *session) Hold(ctx context.Context, o mapswitch.OrderHold) (bool, error) {
	var r HoldResult
	err := s.order(ctx, KindHold, o.Token, o.Proposal, nil, &r)
	return r.OK, err
}

// Use implements mapswitch.Engine.
func (s *session) Use(ctx context.Context, o mapswitch.OrderUse) error {
	return s.order(ctx, KindUse, o.Token, o.Proposal, nil, &HoldResult{})
}

// Release implements mapswitch.Engine.
func (s *session) Release(ctx context.Context, o mapswitch.OrderRelease) error {
	return s.order(ctx, KindRelease, o.Token, o.Proposal, nil, &HoldResult{})
}

// Load implements mapswitch.Engine.
func (s *session) Load(ctx context.Context, o mapswitch.OrderLoad) error {
	p := mapswitch.Proposal{Map: o.Map.Ref}
	return s.order(ctx, KindLoad, o.Token, p, []byte(o.Map.Data), &HoldResult{})
}

// Leave implements mapswitch.Engine.
func (s *session) Leave(ctx context.Context, o mapswitch.OrderLeave) error {
	return s.order(ctx, KindLeave, o.Token, mapswitch.Proposal{Epoch: o.Epoch}, nil, &HoldResult{})
}

// Form implements mapswitch.Engine.
func (s *session) Form(ctx context.Context, o mapswitch.OrderForm) error {
	p := mapswitch.Proposal{Epoch: o.Record.Epoch, Members: o.Record.Members, Map: o.Record.Map}
	return s.order(ctx, KindForm, o.Token, p, nil, &HoldResult{})
}
