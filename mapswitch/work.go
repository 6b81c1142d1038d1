package mapswitch

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// readToken reads the newest fencing token for an incarnation.
type readToken struct{ incarnation uint64 }

func (readToken) action() {}

// loadWork is a load with the way to the engine that it was ordered through.
type loadWork struct {
	engine Engine
	order  OrderLoad
}

// queueStore answers at once that the call failed if the queue is full.
func (n *Node) queueStore(a Action) {
	select {
	case n.stores <- a:
	default:
		n.postFailure(a)
	}
}

func (n *Node) postFailure(a Action) {
	ev := failedEvent(a)
	if err := n.post(ev); err != nil {
		klog.Warningf("mapswitch: group %s %v", n.cfg.Group, err)
	}
}

func failedEvent(a Action) Event {
	if _, ok := a.(WriteRecord); ok {
		return RecordWritten{}
	}
	return RecordRead{}
}

// queueLoad answers at once that the load failed if the queue is full.
func (n *Node) queueLoad(order OrderLoad) {
	select {
	case n.loads <- loadWork{n.engine, order}:
	default:
		if err := n.post(LoadDone{LoadID: order.LoadID}); err != nil {
			klog.Warningf("mapswitch: group %s %v", n.cfg.Group, err)
		}
	}
}

// storeAll is the only goroutine that calls the table service.
func (n *Node) storeAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.stores:
			n.storeOne(ctx, a)
		}
	}
}

func (n *Node) storeOne(ctx context.Context, a Action) {
	ev, err := n.callStore(ctx, a)
	for err != nil {
		klog.Warningf("mapswitch: group %s rank %d got no answer from the table service: %v", n.cfg.Group, n.cfg.Rank, err)
		if !wait(ctx, n.cfg.StoreRetry) {
			return
		}
		if _, ok := a.(readToken); !ok {
			break
		}
		ev, err = n.callStore(ctx, a)
	}
	n.postWait(ctx, ev)
}

func (n *Node) callStore(ctx context.Context, a Action) (Event, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.StoreTimeout)
	defer cancel()
	switch a := a.(type) {
	case ReadRecord:
		rec, revision, err := n.ports.Store.Read(ctx)
		return RecordRead{rec, revision, err == nil}, err
	case WriteRecord:
		revision, err := n.ports.Store.Write(ctx, a.Record, a.Revision)
		return RecordWritten{revision, err == nil}, err
	}
	return n.callToken(ctx, a)
}

func (n *Node) callToken(ctx context.Context, a Action) (Event, error) {
	read, _ := a.(readToken)
	token, err := n.ports.Store.Token(ctx)
	return TokenRead{read.incarnation, token}, err
}

func (n *Node) postWait(ctx context.Context, ev Event) {
	select {
	case n.events <- ev:
	case <-ctx.Done():
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// loadAll is the only goroutine that loads.
func (n *Node) loadAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-n.loads:
			order := work.order
			err := work.engine.Load(ctx, order)
			if err != nil {
				klog.Warningf("mapswitch: group %s rank %d did not load map %d: %v", n.cfg.Group, n.cfg.Rank, order.Map.Version, err)
			}
			n.postWait(ctx, LoadDone{order.LoadID, err == nil})
		}
	}
}

func (n *Node) sendAll(ctx context.Context, outbox chan Envelope) {
	for {
		select {
		case <-ctx.Done():
			return
		case env := <-outbox:
			n.sendOne(ctx, env)
		}
	}
}

// sendOne leaves a lost message to the protocol's retries.
func (n *Node) sendOne(ctx context.Context, env Envelope) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.SendTimeout)
	defer cancel()
	if err := n.ports.Transport.Send(ctx, env); err != nil {
		klog.V(1).Infof("mapswitch: group %s rank %d could not send to rank %d: %v", n.cfg.Group, env.From, env.To, err)
	}
}
