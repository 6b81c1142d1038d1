package mapswitch

import (
	"context"
	"time"

	"k8s.io/klog/v2"
)

// readToken is the action that reads the highest granted fencing token for an
// incarnation.
type readToken struct{ incarnation uint64 }

func (readToken) action() {}

// loadJob is a load with the engine session through which it was ordered.
type loadJob struct {
	engine Engine
	order  OrderLoad
}

// enqueueStoreCall reports the call as failed if the queue is full.
func (n *Node) enqueueStoreCall(a Action) {
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

// enqueueLoad reports the load as failed if the queue is full.
func (n *Node) enqueueLoad(order OrderLoad) {
	select {
	case n.loads <- loadJob{n.engine, order}:
	default:
		if err := n.post(LoadDone{LoadID: order.LoadID}); err != nil {
			klog.Warningf("mapswitch: group %s %v", n.cfg.Group, err)
		}
	}
}

// runStoreCalls executes all calls to the table service in one goroutine.
func (n *Node) runStoreCalls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.stores:
			n.runStoreCall(ctx, a)
		}
	}
}

func (n *Node) runStoreCall(ctx context.Context, a Action) {
	ev, err := n.callStore(ctx, a)
	for err != nil {
		klog.Warningf("mapswitch: group %s rank %d: call to the table service failed: %v", n.cfg.Group, n.cfg.Rank, err)
		if !sleep(ctx, n.cfg.StoreRetry) {
			return
		}
		if _, ok := a.(readToken); !ok {
			break
		}
		ev, err = n.callStore(ctx, a)
	}
	n.postBlocking(ctx, ev)
}

func (n *Node) callStore(ctx context.Context, a Action) (Event, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.StoreTimeout)
	defer cancel()
	switch a := a.(type) {
	case ReadRecord:
		rec, revision, err := n.deps.Store.Read(ctx)
		return RecordRead{rec, revision, err == nil}, err
	case WriteRecord:
		revision, err := n.deps.Store.Write(ctx, a.Record, a.Revision)
		return RecordWritten{revision, err == nil}, err
	}
	return n.readNewestToken(ctx, a)
}

func (n *Node) readNewestToken(ctx context.Context, a Action) (Event, error) {
	read, _ := a.(readToken)
	token, err := n.deps.Store.Token(ctx)
	return TokenRead{read.incarnation, token}, err
}

func (n *Node) postBlocking(ctx context.Context, ev Event) {
	select {
	case n.events <- ev:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runLoads executes all loads in one goroutine.
func (n *Node) runLoads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-n.loads:
			order := job.order
			err := job.engine.Load(ctx, order)
			if err != nil {
				klog.Warningf("mapswitch: group %s rank %d failed to load map %d: %v", n.cfg.Group, n.cfg.Rank, order.Map.Version, err)
			}
			n.postBlocking(ctx, LoadDone{order.LoadID, err == nil})
		}
	}
}

func (n *Node) runSends(ctx context.Context, outbox chan Envelope) {
	for {
		select {
		case <-ctx.Done():
			return
		case env := <-outbox:
			n.sendMessage(ctx, env)
		}
	}
}

// sendMessage only logs a failure, since the protocol resends lost messages.
func (n *Node) sendMessage(ctx context.Context, env Envelope) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.SendTimeout)
	defer cancel()
	if err := n.deps.Transport.Send(ctx, env); err != nil {
		klog.V(1).Infof("mapswitch: group %s rank %d failed to send to rank %d: %v", n.cfg.Group, env.From, env.To, err)
	}
}
