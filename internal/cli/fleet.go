package cli

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"chervilridge/internal/entry/api"
	"chervilridge/internal/fault"
)

const waitPoll = 200 * time.Millisecond

func (sh *shell) fleet(cmd *cobra.Command) (api.Fleet, error) {
	var f api.Fleet
	_, err := sh.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/fleet"}, &f)
	return f, err
}

func (sh *shell) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Shows entries, agents and their table versions", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := sh.fleet(cmd)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "entry %s at table version %d\n", f.Entry, f.TableVersion)
			for _, m := range f.Members {
				fmt.Fprintf(out, "agent %-12s %-12s %-10s version %-4d running %-3d queued %-3d healthy %v leaving %v\n",
					m.Agent, m.Service, m.DataCentre, m.TableVersion, m.Running, m.Queued, m.Healthy, m.Leaving)
			}
			return nil
		},
	}
}

// waitCommand waits until every live process reports the version, asking every
// entry that is named.
func (sh *shell) waitCommand() *cobra.Command {
	var version uint64
	var timeout time.Duration
	cmd := &cobra.Command{
		Use: "wait", Short: "Waits until a table version is in force everywhere and names who lags", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			deadline := time.Now().Add(timeout)
			for {
				lagging, err := sh.lagging(cmd, &version)
				if err == nil && len(lagging) == 0 {
					fmt.Fprintf(cmd.OutOrStdout(), "table version %d is in force everywhere\n", version)
					return nil
				}
				if time.Now().After(deadline) {
					return waitFailed(version, lagging, err)
				}
				time.Sleep(waitPoll)
			}
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "table version to wait for; 0 means the newest")
	cmd.Flags().DurationVar(&timeout, "timeout", 16*time.Second, "how long to wait")
	return cmd
}

func waitFailed(version uint64, lagging []string, err error) error {
	if err != nil {
		return err
	}
	return fault.Newf(fault.CodeStaleView, fault.StepConfig, strings.Join(lagging, ","),
		"table version %d is not in force at %s", version, strings.Join(lagging, ", "))
}

// lagging returns the processes below the version, over all named entries. An
// entry that does not answer lags as long as another one answers.
func (sh *shell) lagging(cmd *cobra.Command, version *uint64) ([]string, error) {
	fleets, silent, err := sh.fleets(cmd)
	if len(fleets) == 0 {
		return nil, err
	}
	if *version == 0 {
		for _, f := range fleets {
			*version = max(*version, f.TableVersion)
		}
	}
	return append(behind(fleets, *version), silent...), nil
}

// behind names each process that reports an older version to any entry.
func behind(fleets []api.Fleet, version uint64) []string {
	var out []string
	add := func(name string, at uint64) {
		if at < version && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, f := range fleets {
		add("entry "+f.Entry, f.TableVersion)
		for _, m := range f.Members {
			add("agent "+m.Agent, newest(fleets, m.Agent))
		}
	}
	return out
}

// newest returns the highest version that an agent reported to any entry.
func newest(fleets []api.Fleet, agent string) uint64 {
	var at uint64
	for _, f := range fleets {
		for _, m := range f.Members {
			if m.Agent == agent {
				at = max(at, m.TableVersion)
			}
		}
	}
	return at
}

// fleets asks every named entry; those that do not answer are named.
func (sh *shell) fleets(cmd *cobra.Command) (out []api.Fleet, silent []string, last error) {
	for _, entry := range *sh.entries {
		var f api.Fleet
		one := NewClient([]string{entry}, *sh.operator)
		if _, err := one.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/fleet"}, &f); err != nil {
			silent, last = append(silent, "entry at "+entry+" (does not answer)"), err
			continue
		}
		out = append(out, f)
	}
	return out, silent, last
}
