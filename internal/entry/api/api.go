// Package api is the HTTP interface of an entry for clients and operators.
package api

import (
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
	"chervilridge/internal/request/parse"
	"chervilridge/internal/table/view"
)

// Parts are what the interface stands in front of.
type Parts struct {
	Pipeline request.Handler
	Limits   parse.Limits
	Registry *membership.Registry
	Asker    *Asker
	Table    *view.View
	Writer   Committer
	// Ready reports whether the balancer should send requests here.
	Ready func() bool
	// Settings returns the settings in force.
	Settings func() any
	Entry    string
}

type api struct{ Parts }

// New returns the handler with all routes.
func New(parts Parts) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	a := &api{parts}
	e := gin.New()
	e.Use(gin.Recovery())
	e.NoRoute(func(c *gin.Context) {
		fail(c, fault.Newf(fault.CodeNotFound, fault.StepParse, "", "no route %s %s", c.Request.Method, c.Request.URL.Path))
	})
	e.GET("/healthz", a.healthz)
	e.GET("/readyz", a.readyz)
	v1 := e.Group("/v1")
	v1.POST("/services/:service/requests", a.serve)
	v1.GET("/requests/:id", a.askOutcome)
	v1.GET("/table", a.getTable)
	v1.PUT("/table/rows", a.putRows)
	v1.DELETE("/table/rows/:kind/:name", a.deleteRow)
	v1.POST("/data-centres/:name/out", a.changeDataCentre(true))
	v1.POST("/data-centres/:name/back", a.changeDataCentre(false))
	v1.GET("/data-centres/:name/plan", a.planDrain)
	v1.POST("/notices", a.giveNotice)
	v1.GET("/notices", a.listNotices)
	v1.GET("/fleet", a.fleet)
	v1.GET("/settings", func(c *gin.Context) { c.JSON(http.StatusOK, a.Settings()) })
	return e
}

// fail writes an error as JSON with its status.
func fail(c *gin.Context, err error) {
	e := fault.As(err)
	events.RequestRefused.Log("path", c.Request.URL.Path, "code", string(e.Code), "step", string(e.Step),
		"peer", e.Peer, "outcome", string(e.Outcome), "request", e.RequestID, "detail", e.Message)
	if e.RetryAfter > 0 {
		c.Header("Retry-After", strconv.FormatInt(int64(e.RetryAfter.Seconds()+0.5), 10))
	}
	c.JSON(e.Status(), e.Body())
}

func (a *api) healthz(c *gin.Context) { c.String(http.StatusOK, "ok") }

func (a *api) readyz(c *gin.Context) {
	if !a.Ready() {
		c.String(http.StatusServiceUnavailable, "leaving")
		return
	}
	c.String(http.StatusOK, "ready")
}

// Fleet is what an entry knows of the system.
type Fleet struct {
	Entry        string              `json:"entry"`
	TableVersion uint64              `json:"table_version"`
	Members      []membership.Status `json:"members"`
}

func (a *api) fleet(c *gin.Context) {
	f := Fleet{Entry: a.Entry, TableVersion: a.Table.Version(), Members: a.Registry.Statuses()}
	c.JSON(http.StatusOK, f)
}
