// Package api is the HTTP API of an entry for clients and operators.
package api

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/gin-gonic/gin"

	"chervilridge/internal/bodylimit"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
	"chervilridge/internal/request/parse"
	"chervilridge/internal/table/view"
)

// Dependencies are what the API needs from the rest of the entry.
type Dependencies struct {
	Pipeline  request.Handler
	Limits    parse.Limits
	Bodies    *bodylimit.Budget // of all requests with a body
	Registry  *membership.Registry
	Outcomes  *OutcomeResolver
	Table     *view.View
	Committer Committer
	// Ready reports whether the load balancer should send requests to this entry.
	Ready func() bool
	// Settings returns the settings in effect, to be encoded as JSON.
	Settings func() any
	// EntryName is the name of this entry.
	EntryName string
}

type api struct {
	Dependencies
	readingRows sync.Mutex // held while a CSV file is decoded
}

// New returns the handler of all routes.
func New(deps Dependencies) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	a := &api{Dependencies: deps}
	e := gin.New()
	e.Use(gin.Recovery())
	e.NoRoute(func(c *gin.Context) {
		writeError(c, fault.Newf(fault.CodeNotFound, fault.StepParse, "", "no route %s %s", c.Request.Method, c.Request.URL.Path))
	})
	e.GET("/healthz", a.healthz)
	e.GET("/readyz", a.readyz)
	v1 := e.Group("/v1")
	v1.POST("/services/:service/requests", a.postRequest)
	v1.GET("/requests/:id", a.getOutcome)
	v1.GET("/table", a.getTable)
	v1.PUT("/table/rows", a.putRows)
	v1.DELETE("/table/rows/:kind/:name", a.deleteRow)
	v1.POST("/data-centres/:name/out", a.changeDataCentre(true))
	v1.POST("/data-centres/:name/back", a.changeDataCentre(false))
	v1.GET("/data-centres/:name/plan", a.planDrain)
	v1.POST("/notices", a.postNotice)
	v1.GET("/notices", a.listNotices)
	v1.GET("/fleet", a.getFleet)
	v1.GET("/settings", func(c *gin.Context) { c.JSON(http.StatusOK, a.Settings()) })
	return e
}

// writeError logs an error and writes it as JSON with its status.
func writeError(c *gin.Context, err error) {
	e := fault.As(err)
	events.RequestFailed.Log("path", c.Request.URL.Path, "code", string(e.Code), "step", string(e.Step),
		"peer", e.Peer, "outcome", string(e.Outcome), "request", e.RequestID, "detail", e.Message)
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64(e.RetryAfter.Seconds()+0.5), 10))
	}
	c.JSON(e.HTTPStatus(), e.Body())
}

func (a *api) healthz(c *gin.Context) { c.String(http.StatusOK, "ok") }

func (a *api) readyz(c *gin.Context) {
	if !a.Ready() {
		c.String(http.StatusServiceUnavailable, "leaving")
		return
	}
	c.String(http.StatusOK, "ready")
}

// Fleet is the JSON form of an entry's table version and of all members of its registry.
type Fleet struct {
	Entry        string              `json:"entry"`
	TableVersion uint64              `json:"table_version"`
	Members      []membership.Status `json:"members"`
}

func (a *api) getFleet(c *gin.Context) {
	f := Fleet{Entry: a.EntryName, TableVersion: a.Table.Version(), Members: a.Registry.Statuses()}
	c.JSON(http.StatusOK, f)
}
