package settings

import (
	"testing"
	"time"

	"github.com/spf13/pflag"
	"gotest.tools/v3/assert"

	"chervilridge/internal/fault"
)

// lookup returns a function that looks variables up in env.
func lookup(env map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		v, ok := env[name]
		return v, ok
	}
}

func TestFlagBeatsVariableBeatsDefault(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		env    map[string]string
		want   time.Duration
		source Source
	}{
		{"default", nil, nil, time.Second, FromDefault},
		{"variable", nil, map[string]string{"CHERVIL_PAUSE": "2s"}, 2 * time.Second, FromEnvironment},
		{"flag", []string{"--pause=3s"}, map[string]string{"CHERVIL_PAUSE": "2s"}, 3 * time.Second, FromFlag},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New("test")
			pause := s.Duration("pause", time.Second, 0, time.Minute, "a pause")
			flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
			s.Bind(flags)
			assert.NilError(t, flags.Parse(c.args))
			assert.NilError(t, s.Load(lookup(c.env)))
			assert.Equal(t, *pause, c.want)
			assert.Equal(t, s.Effective()[0].Source, c.source)
		})
	}
}

// TestEveryMistakeIsNamedAtOnce guards against an error that reports only the first of
// several invalid settings.
func TestEveryMistakeIsNamedAtOnce(t *testing.T) {
	s := New("test")
	s.Duration("pause", time.Second, 0, time.Minute, "a pause")
	s.Int("slots", 8, 1, 10, "requests", "slots")
	s.Address("address", "127.0.0.1:1", "where")
	s.String("name", "x", "who", true)
	err := s.Load(lookup(map[string]string{
		"CHERVIL_PAUSE": "2h", "CHERVIL_SLOTS": "many", "CHERVIL_ADDRESS": "localhost:1", "CHERVIL_NAME": " ",
	}))
	assert.Assert(t, fault.Is(err, fault.CodeBadSetting))
	for _, want := range []string{"4 bad settings", "--pause (CHERVIL_PAUSE)", "0s to 1m0s", "unit: requests, range: 1 to 10", "is not an IP address", "--name"} {
		assert.ErrorContains(t, err, want)
	}
}
