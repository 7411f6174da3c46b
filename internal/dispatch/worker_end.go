package dispatch

import (
	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
)

// workerEndState is how far it is stored that a worker has ended with its runs.
type workerEndState int

const (
	workerLives workerEndState = iota
	workerEndPending
	workerEndStored
)

// withdrawWorkerEnd takes back what is pending of the confirmation of a worker's end.
func (n *node) withdrawWorkerEnd() {
	if n.workerEnd == workerLives {
		return
	}
	n.workerEnd = workerLives
	n.session.update(func(next *chervilv2.OwnerOrders) { next.WorkerEndStored = false })
}

// confirmWorkerEnd confirms the end of a worker to its agent once the ends of its runs are stored. The
// agent may stop after that, and another owner would wait for the leases of runs that it does not know to have ended.
func (e *Engine) confirmWorkerEnd(n *node, worker jobstate.WorkerKey) {
	end := order{node: n.name, workerEnd: true, worker: worker}
	switch {
	case n.workerEnd == workerLives || n.endedWorker != worker:
		n.workerEnd, n.endedWorker = workerEndPending, worker
		e.batch.orders = append(e.batch.orders, end)
		e.wake()
	case n.workerEnd == workerEndStored: // repeat a lost confirmation
		n.session.addOrder(end)
	}
}
