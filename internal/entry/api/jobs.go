package api

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/request/parse"
)

const maxJobBytes = 128 << 10

// JobCall is the body of a submission.
type JobCall struct {
	Team         string          `json:"team"`
	JobClass     string          `json:"job_class"`
	Client       string          `json:"client"`
	Tasks        uint32          `json:"tasks"`
	CPUMilli     int64           `json:"cpu_milli"`
	MemoryMB     int64           `json:"memory_mb"`
	Accelerators int64           `json:"accelerators"`
	DurationMs   int64           `json:"duration_ms"`
	MaxFailures  uint32          `json:"max_failures"`
	Payload      json.RawMessage `json:"payload"`
}

// TaskView is a task as clients see it.
type TaskView struct {
	Index    uint32          `json:"index"`
	State    string          `json:"state"`
	Attempt  uint32          `json:"attempt"`
	Worker   string          `json:"worker,omitempty"`
	Failures uint32          `json:"failures"`
	Reason   string          `json:"reason,omitempty"`
	Result   string          `json:"result,omitempty"`
	History  []TaskEventView `json:"history,omitempty"`
}

// TaskEventView is one step of a task's life.
type TaskEventView struct {
	TimeMs  int64  `json:"time_ms"`
	What    string `json:"what"`
	Attempt uint32 `json:"attempt"`
	Worker  string `json:"worker,omitempty"`
	Detail  string `json:"detail,omitempty"`
	Epoch   uint64 `json:"epoch"`
}

// JobView is a job as clients see it.
type JobView struct {
	JobID     string         `json:"job_id"`
	Team      string         `json:"team"`
	JobClass  string         `json:"job_class"`
	Cancelled bool           `json:"cancelled"`
	Rejected  string         `json:"rejected,omitempty"`
	States    map[string]int `json:"states"`
	Tasks     []TaskView     `json:"tasks"`
}

var stateNames = map[pb.TaskState]string{
	pb.TaskState_TASK_STATE_PENDING:   "pending",
	pb.TaskState_TASK_STATE_ASSIGNED:  "assigned",
	pb.TaskState_TASK_STATE_FINISHED:  "finished",
	pb.TaskState_TASK_STATE_FAILED:    "failed",
	pb.TaskState_TASK_STATE_CANCELLED: "cancelled",
}

func (a *api) submitJob(c *gin.Context) {
	var call JobCall
	if !decode(c, &call, maxJobBytes) {
		return
	}
	spec := &pb.JobSpec{
		Team: call.Team, JobClass: call.JobClass, Client: call.Client, Tasks: call.Tasks,
		Resources:  &pb.Resources{CpuMilli: call.CPUMilli, MemoryMb: call.MemoryMB, Accelerators: call.Accelerators},
		DurationMs: call.DurationMs, MaxFailures: call.MaxFailures, Payload: call.Payload,
	}
	out, err := a.Jobs.Submit(c.Request.Context(), c.GetHeader(parse.HeaderKey), spec)
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusAccepted, out)
}

func (a *api) getJob(c *gin.Context) {
	job, err := a.Jobs.Get(c.Request.Context(), c.Param("id"))
	if err != nil {
		fail(c, err)
		return
	}
	out := JobView{
		JobID: job.Id, Team: job.Spec.Team, JobClass: job.Spec.JobClass,
		Cancelled: job.Cancelled, Rejected: job.Rejected, States: map[string]int{},
	}
	for _, t := range job.Tasks {
		out.States[stateNames[t.State]]++
		out.Tasks = append(out.Tasks, viewTask(t))
	}
	c.JSON(http.StatusOK, out)
}

func viewTask(t *pb.Task) TaskView {
	return TaskView{
		Index: t.Index, State: stateNames[t.State], Attempt: t.Attempt, Worker: t.Worker,
		Failures: t.Failures, Reason: t.Reason, Result: string(t.Result),
	}
}

func (a *api) explainTask(c *gin.Context) {
	job, err := a.Jobs.Get(c.Request.Context(), c.Param("id"))
	if err != nil {
		fail(c, err)
		return
	}
	index, err := strconv.Atoi(c.Param("index"))
	if err != nil || index < 0 || index >= len(job.Tasks) {
		fail(c, fault.Newf(fault.CodeNotFound, fault.StepParse, "", "job %s has no task %s", job.Id, c.Param("index")))
		return
	}
	task := job.Tasks[index]
	out := viewTask(task)
	for _, h := range task.History {
		out.History = append(out.History, TaskEventView{
			TimeMs: h.TimeMs, What: h.What, Attempt: h.Attempt, Worker: h.Worker, Detail: h.Detail, Epoch: h.Epoch,
		})
	}
	c.JSON(http.StatusOK, out)
}

func (a *api) cancelJob(c *gin.Context) { a.cancel(c, []string{c.Param("id")}) }

func (a *api) cancelJobs(c *gin.Context) {
	var call struct {
		JobIDs []string `json:"job_ids"`
	}
	if !decode(c, &call, maxJobBytes) {
		return
	}
	if len(call.JobIDs) == 0 {
		fail(c, fault.New(fault.CodeBadRequest, fault.StepParse, "", "job_ids is empty"))
		return
	}
	a.cancel(c, call.JobIDs)
}

func (a *api) cancel(c *gin.Context, ids []string) {
	if err := a.Jobs.Cancel(c.Request.Context(), ids); err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, gin.H{"cancelled": len(ids)})
}

// decode reads a JSON body strictly; it writes the error itself.
func decode(c *gin.Context, into any, limit int64) bool {
	d := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		fail(c, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, "", "body is not the expected JSON"))
		return false
	}
	return true
}
