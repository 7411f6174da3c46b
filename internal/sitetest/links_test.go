package sitetest

import (
	"fmt"

	"gotest.tools/v3/assert"

	"chervilridge/internal/standin/proxy"
)

func workerLink(agent int) string { return fmt.Sprintf("worker-%d", agent) }

// through returns the address of a proxy before the target, or the target on a site
// without proxies.
func (s *site) through(link, target string) string {
	if !s.proxied {
		return target
	}
	p, err := proxy.Listen(target)
	assert.NilError(s.t, err)
	s.links[link] = p
	return p.Address()
}

// clockRates are the rates of the workers' clocks: true, and slow and fast by the 2 %
// that the platform allows.
var clockRates = []float64{0, 0.98, 1.02}
