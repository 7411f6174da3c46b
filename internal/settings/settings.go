// Package settings reads a program's settings from flags and environment variables and
// validates them together. A flag takes precedence over its environment variable, which
// takes precedence over the default.
package settings

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"chervilridge/internal/fault"
)

// EnvPrefix is the prefix of the environment variables. The rest of the name is that of the
// flag in upper case, with underscores for hyphens.
const EnvPrefix = "CHERVIL_"

// Source is the origin of a setting's value.
type Source string

// Sources, by rising precedence.
const (
	FromDefault     Source = "default"
	FromEnvironment Source = "environment"
	FromFlag        Source = "flag"
)

// Setting is a setting with its documentation and its value. Its JSON form is the one
// served under /settings and /v1/settings.
type Setting struct {
	Name    string `json:"name"`
	Env     string `json:"env"`
	Unit    string `json:"unit"`
	Range   string `json:"range"`
	Help    string `json:"help"`
	Default string `json:"default"`
	Value   string `json:"value"`
	Source  Source `json:"source"`

	parse func(raw string) error // validates a value and stores it for the program
}

// Set holds the settings of one program. A program defines its settings, then calls Bind and
// Load; from then on the set is only read. The pointers that the defining methods return
// are valid after Load.
type Set struct {
	program  string
	settings []*Setting
	flags    *pflag.FlagSet
}

// New returns an empty set for the named program.
func New(program string) *Set {
	return &Set{program: program}
}

// Program returns the name of the program.
func (s *Set) Program() string { return s.program }

// add defines a setting. parse is called by Load with the raw value.
func (s *Set) add(name, unit, bounds, help, def string, parse func(string) error) {
	env := EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	s.settings = append(s.settings, &Setting{
		Name: name, Env: env, Unit: unit, Range: bounds, Help: help,
		Default: def, Value: def, Source: FromDefault, parse: parse,
	})
}

// String adds a text setting. If it is required, a blank value is rejected.
func (s *Set) String(name, def, help string, required bool) *string {
	v := new(string)
	bounds := "any text"
	if required {
		bounds = "not empty"
	}
	s.add(name, "text", bounds, help, def, func(raw string) error {
		if required && strings.TrimSpace(raw) == "" {
			return fmt.Errorf("must not be empty")
		}
		*v = raw
		return nil
	})
	return v
}

// Choice adds a setting whose value must be one of values.
func (s *Set) Choice(name, def, help string, values ...string) *string {
	v := new(string)
	s.add(name, "choice", strings.Join(values, "|"), help, def, func(raw string) error {
		for _, allowed := range values {
			if raw == allowed {
				*v = raw
				return nil
			}
		}
		return fmt.Errorf("must be one of %s", strings.Join(values, ", "))
	})
	return v
}

// Address adds an ip:port setting. Host names are rejected.
func (s *Set) Address(name, def, help string) *string {
	v := new(string)
	s.add(name, "ip:port", "ip:port", help, def, func(raw string) error {
		if err := checkAddress(raw); err != nil {
			return err
		}
		*v = raw
		return nil
	})
	return v
}

// Addresses adds a setting with a comma-separated list of ip:port values, which may be empty.
func (s *Set) Addresses(name, def, help string) *[]string {
	v := new([]string)
	s.add(name, "ip:port,...", "ip:port,...", help, def, func(raw string) error {
		list := splitList(raw)
		for _, a := range list {
			if err := checkAddress(a); err != nil {
				return err
			}
		}
		*v = list
		return nil
	})
	return v
}

// Duration adds a duration setting between lo and hi, inclusive.
func (s *Set) Duration(name string, def, lo, hi time.Duration, help string) *time.Duration {
	v := new(time.Duration)
	bounds := fmt.Sprintf("%v to %v", lo, hi)
	s.add(name, "duration (such as 250ms, 5s)", bounds, help, def.String(), func(raw string) error {
		d, err := time.ParseDuration(raw)
		if err != nil {
			return fmt.Errorf("is not a duration such as 250ms or 5s")
		}
		if d < lo || d > hi {
			return fmt.Errorf("is out of range %s", bounds)
		}
		*v = d
		return nil
	})
	return v
}

// Int adds an integer setting between lo and hi, inclusive. unit is only documentation.
func (s *Set) Int(name string, def, lo, hi int64, unit, help string) *int64 {
	v := new(int64)
	bounds := fmt.Sprintf("%d to %d", lo, hi)
	s.add(name, unit, bounds, help, strconv.FormatInt(def, 10), func(raw string) error {
		n, err := strconv.ParseInt(raw, 10, 64)
		if err != nil {
			return fmt.Errorf("is not an integer")
		}
		if n < lo || n > hi {
			return fmt.Errorf("is out of range %s", bounds)
		}
		*v = n
		return nil
	})
	return v
}

// Bool adds a boolean setting.
func (s *Set) Bool(name string, def bool, help string) *bool {
	v := new(bool)
	s.add(name, "true|false", "true|false", help, strconv.FormatBool(def), func(raw string) error {
		b, err := strconv.ParseBool(raw)
		if err != nil {
			return fmt.Errorf("must be true or false")
		}
		*v = b
		return nil
	})
	return v
}

// Bind defines a flag for each setting. Its usage text shows default, unit, range and
// environment variable.
func (s *Set) Bind(flags *pflag.FlagSet) {
	s.flags = flags
	for _, st := range s.settings {
		usage := fmt.Sprintf("%s [unit: %s; range: %s; variable: %s]", st.Help, st.Unit, st.Range, st.Env)
		flags.String(st.Name, st.Default, usage)
	}
}

// Load determines the value of each setting and validates it. lookup returns the value of an
// environment variable; nil means os.LookupEnv. The error has CodeBadSetting and lists all
// invalid settings with unit and range.
func (s *Set) Load(lookup func(string) (string, bool)) error {
	if lookup == nil {
		lookup = os.LookupEnv
	}
	var invalid []string
	for _, st := range s.settings {
		s.resolve(st, lookup)
		if err := st.parse(st.Value); err != nil {
			invalid = append(invalid, fmt.Sprintf("--%s (%s) = %q from %s %v; unit: %s, range: %s",
				st.Name, st.Env, st.Value, st.Source, err, st.Unit, st.Range))
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	return fault.Newf(fault.CodeBadSetting, fault.StepSettings, s.program,
		"%d bad settings:\n  %s", len(invalid), strings.Join(invalid, "\n  "))
}

// resolve sets value and source of a setting by precedence.
func (s *Set) resolve(st *Setting, lookup func(string) (string, bool)) {
	if v, ok := lookup(st.Env); ok {
		st.Value, st.Source = v, FromEnvironment
	}
	if s.flags == nil {
		return
	}
	if f := s.flags.Lookup(st.Name); f != nil && f.Changed {
		st.Value, st.Source = f.Value.String(), FromFlag
	}
}

// Effective returns a copy of the settings with their current values, in the order in which
// they were added.
func (s *Set) Effective() []Setting {
	out := make([]Setting, len(s.settings))
	for i, st := range s.settings {
		out[i] = *st
	}
	return out
}

// splitList splits a comma-separated list, dropping blank elements.
func splitList(raw string) []string {
	var out []string
	for _, part := range strings.Split(raw, ",") {
		if p := strings.TrimSpace(part); p != "" {
			out = append(out, p)
		}
	}
	return out
}

// checkAddress reports an error unless raw is an IP address and a port.
func checkAddress(raw string) error {
	host, port, err := net.SplitHostPort(raw)
	if err != nil {
		return fmt.Errorf("%q is not ip:port", raw)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("host of %q is not an IP address", raw)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("port of %q is not between 0 and 65535", raw)
	}
	return nil
}
