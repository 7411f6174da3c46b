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

// waitPoll is the interval at which the wait command queries the entries.
const waitPoll = 200 * time.Millisecond

func (o *rootOptions) fetchFleet(cmd *cobra.Command) (api.Fleet, error) {
	var f api.Fleet
	_, err := o.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/fleet"}, &f)
	return f, err
}

func (o *rootOptions) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Shows entries, agents and their table versions", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := o.fetchFleet(cmd)
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

// waitCommand returns the command that waits until every process known to the entries of
// --entry reports the version.
func (o *rootOptions) waitCommand() *cobra.Command {
	var version uint64
	var timeout time.Duration
	cmd := &cobra.Command{
		Use: "wait", Short: "Waits until a table version is in effect everywhere; names the processes that lag", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			deadline := time.Now().Add(timeout)
			for {
				lagging, err := o.lagging(cmd, &version)
				if err == nil && len(lagging) == 0 {
					fmt.Fprintf(cmd.OutOrStdout(), "table version %d is in effect everywhere\n", version)
					return nil
				}
				if time.Now().After(deadline) {
					return waitError(version, lagging, err)
				}
				time.Sleep(waitPoll)
			}
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "table version to wait for; 0 means the newest")
	cmd.Flags().DurationVar(&timeout, "timeout", 16*time.Second, "how long to wait")
	return cmd
}

// waitError returns the error of a wait that timed out: that of the last query, or one that
// names the lagging processes.
func waitError(version uint64, lagging []string, err error) error {
	if err != nil {
		return err
	}
	return fault.Newf(fault.CodeStaleView, fault.StepConfig, strings.Join(lagging, ","),
		"table version %d is not in effect at %s", version, strings.Join(lagging, ", "))
}

// lagging returns the processes that report an older version. If *version is 0, it is first
// set to the newest version of any entry. An entry that does not answer counts as lagging;
// if none answers, the error of the last one is returned.
func (o *rootOptions) lagging(cmd *cobra.Command, version *uint64) ([]string, error) {
	fleets, unreachable, err := o.fetchFleets(cmd)
	if len(fleets) == 0 {
		return nil, err
	}
	if *version == 0 {
		for _, f := range fleets {
			*version = max(*version, f.TableVersion)
		}
	}
	return append(processesBelow(fleets, *version), unreachable...), nil
}

// processesBelow names each entry and agent whose version is older. Agents report to several
// entries; the newest report counts.
func processesBelow(fleets []api.Fleet, version uint64) []string {
	var out []string
	add := func(name string, reported uint64) {
		if reported < version && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	for _, f := range fleets {
		add("entry "+f.Entry, f.TableVersion)
		for _, m := range f.Members {
			add("agent "+m.Agent, newestReport(fleets, m.Agent))
		}
	}
	return out
}

// newestReport returns the highest version that an agent reported to any entry.
func newestReport(fleets []api.Fleet, agent string) uint64 {
	var version uint64
	for _, f := range fleets {
		for _, m := range f.Members {
			if m.Agent == agent {
				version = max(version, m.TableVersion)
			}
		}
	}
	return version
}

// fetchFleets queries each entry of --entry. It returns the answers, a description of each
// entry that did not answer, and the last error.
func (o *rootOptions) fetchFleets(cmd *cobra.Command) (out []api.Fleet, unreachable []string, lastErr error) {
	for _, entry := range *o.entries {
		var f api.Fleet
		client := NewClient([]string{entry}, *o.operator)
		if _, err := client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/fleet"}, &f); err != nil {
			unreachable, lastErr = append(unreachable, "entry at "+entry+" (does not answer)"), err
			continue
		}
		out = append(out, f)
	}
	return out, unreachable, lastErr
}
