package model

import pb "chervilridge/api/chervil/v1"

// Assignment is one decision of a plan.
type Assignment struct {
	Task     Task
	Worker   string
	Reserved *pb.Resources
	// Score of the worker, higher is better.
	Score float64
}

// Unplaced is a task that found no worker now, with the reason.
type Unplaced struct {
	Task   Task
	Reason string
}

// Reservation holds a worker back for a task that has waited long.
type Reservation struct {
	Task   Task
	Worker string
}

// Plan is the outcome of planning.
type Plan struct {
	Assignments []Assignment
	Unplaced    []Unplaced
	// Impossible has one task of each job that no known worker could ever take.
	Impossible   []Unplaced
	Reservations []Reservation
}
