package plan

import "time"

// End is the forecast end of a run.
type End struct {
	// Frees is what the run reserves, In the time until its end.
	Frees Resources
	In    time.Duration
}

// Reservation is room that is kept for the first large request of a queue that does not fit.
type Reservation struct {
	Queue string
	Key   StepKey
	// Workers are the positions of the workers in the list of workers.
	Workers []int
	// In is the forecast time until the room is free, Age how long the reservation has been on
	// these workers, Waited how long the request has waited.
	In, Age, Waited time.Duration
	// Idle is the room that was free at the end of the round and is held.
	Idle Resources
}

// Outcome is what became of a reservation.
type Outcome string

// Outcomes of reservations.
const (
	// OutcomeMade: a queue got a reservation, which ends with one of the other outcomes.
	OutcomeMade Outcome = "made"
	// OutcomeMet: a large task of the queue was placed.
	OutcomeMet Outcome = "met"
	// OutcomeExpired: the room was not free in time.
	OutcomeExpired Outcome = "expired"
	// OutcomeDropped: the worker left or no longer suits, or the request is gone.
	OutcomeDropped Outcome = "dropped"
)
