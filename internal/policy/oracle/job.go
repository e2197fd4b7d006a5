package oracle

import "sardineknot.example/sardineknot"

// job is a submitted job and what it occupies. Scheduler.waiting and ready may
// still list jobs that have ended; Scheduler.jobs does not.
type job struct {
	sardineknot.Job
	// engine is the engine that runs the job, or nil.
	engine *engine
	// memoryPieces is the memory of the prompt and the whole answer, in pieces.
	memoryPieces int
	// work is the engine time that the job needs, in seconds, if jobs are
	// ordered shortest first, and zero otherwise.
	work float64
	// decoding is set while the job is counted in Scheduler.memoryPieces.
	decoding bool
}

// jobHeap is a min-heap of jobs, ordered by work, then by priority, then by
// deadline.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h jobHeap) Less(i, j int) bool {
	if h[i].work != h[j].work {
		return h[i].work < h[j].work
	}
	if h[i].Priority != h[j].Priority {
		return h[i].Priority < h[j].Priority
	}
	return h[i].FirstTokenDeadline.Before(h[j].FirstTokenDeadline)
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	n := len(*h) - 1
	x := (*h)[n]
	*h = (*h)[:n]
	return x
}
