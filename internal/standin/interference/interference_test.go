package interference

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestSlowdown: none without work; more with more pressure, more cores, more load.
func TestSlowdown(t *testing.T) {
	host := Host{Cores: 32, Sensitivity: Sensitivity{Cache: 1, Bandwidth: 1}, Load: 0.5, ServiceCores: 6}
	light := Use{Pressure{Cache: 0.2}, 8}
	busy := host
	busy.Load = 0.9
	one := Slowdown(host, []Use{light})
	assert.Equal(t, Slowdown(host, nil), 1.0)
	assert.Check(t, one > 1)
	assert.Check(t, Slowdown(host, []Use{light, light}) > one)
	assert.Check(t, Slowdown(host, []Use{{Pressure{Cache: 0.2, Bandwidth: 1}, 8}}) > one)
	assert.Check(t, Slowdown(busy, []Use{light}) > one)
}

// TestRate: the service takes its processors first.
func TestRate(t *testing.T) {
	host := Host{Cores: 32, Load: 1, ServiceCores: 8}
	assert.Equal(t, Rate(host, 24), 1.0)
	assert.Equal(t, Rate(host, 48), 0.5)
	assert.Equal(t, Rate(host, 0), 0.0)
}
