package sitetest

import (
	"fmt"

	"gotest.tools/v3/assert"

	"chervilridge/internal/standin/proxy"
)

// workerLink returns the key in site.links of the proxy between an agent and its worker.
func workerLink(agent int) string { return fmt.Sprintf("worker-%d", agent) }

// viaProxy starts a proxy for the target and returns the proxy's address. On a site without
// proxies it returns the target.
func (s *site) viaProxy(link, target string) string {
	if !s.useProxies {
		return target
	}
	p, err := proxy.Listen(target)
	assert.NilError(s.t, err)
	s.links[link] = p
	return p.Address()
}

// clockRates are the clock rates of the workers, assigned in turn: exact (0), and 2 % slow
// and fast, which the platform allows.
var clockRates = []float64{0, 0.98, 1.02}
