package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"chervilridge/internal/entry/api"
	"chervilridge/internal/fault"
	"chervilridge/internal/impact"
)

// noticeHours is how long a notice is good for unless the operator says else.
const noticeHours = 24

// drainFlags are the flags of chervilctl drain.
type drainFlags struct {
	plan   bool
	yes    bool
	called []string
	hours  uint32
}

func (sh *shell) drainCommand() *cobra.Command {
	var flags drainFlags
	cmd := &cobra.Command{
		Use: "drain DATA-CENTRE", Short: "Takes a data centre out of service, or shows with --plan whom that slows", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return sh.drain(cmd, args[0], flags) },
	}
	cmd.Flags().BoolVar(&flags.plan, "plan", false, "only shows which services and clients may slow, by how much, and who was told")
	cmd.Flags().BoolVar(&flags.yes, "yes", false, "goes on although clients that may slow were not told")
	cmd.Flags().StringSliceVar(&flags.called, "called", nil, "clients that were told just now; recorded before the change")
	cmd.Flags().Uint32Var(&flags.hours, "hours", noticeHours, "how long the notices of --called are good for")
	return cmd
}

// drain builds on the row that the plan was made from: a change in between by
// another operator makes it fail.
func (sh *shell) drain(cmd *cobra.Command, name string, flags drainFlags) error {
	for _, client := range flags.called {
		if err := sh.giveNotice(cmd, client, name, flags.hours); err != nil {
			return err
		}
	}
	plan, err := sh.plan(cmd, name)
	if err != nil {
		return err
	}
	if flags.plan {
		printPlan(cmd.OutOrStdout(), plan)
		return nil
	}
	if unwarned := plan.Unwarned(); len(unwarned) > 0 && !flags.yes {
		printPlan(cmd.OutOrStdout(), plan)
		return fault.Newf(fault.CodeConflict, fault.StepConfig, name,
			"not told yet: %s; call them and add --called, or go on with --yes", strings.Join(unwarned, ", "))
	}
	version := "?version=" + strconv.FormatUint(plan.RowVersion, 10)
	return sh.change(cmd, Call{Method: http.MethodPost, Path: "/v1/data-centres/" + url.PathEscape(name) + "/out" + version})
}

func (sh *shell) plan(cmd *cobra.Command, name string) (impact.Plan, error) {
	var p impact.Plan
	_, err := sh.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/data-centres/" + url.PathEscape(name) + "/plan"}, &p)
	return p, err
}

func printPlan(out io.Writer, p impact.Plan) {
	fmt.Fprintf(out, "%s out of service at the load of this moment:\n", p.DataCentre)
	fmt.Fprintf(out, "  batch: %d of %d workers leave\n", p.WorkersLeaving, p.Workers)
	for _, s := range p.Services {
		fmt.Fprintf(out, "  service %s: %d of %d slots left for %d requests, %s\n", s.Name, s.SlotsAfter, s.SlotsNow, s.Load, effect(s))
	}
	for _, c := range p.Clients {
		fmt.Fprintf(out, "  client %s (weight %d, %q): %s\n", c.Name, c.Weight, c.Contact, notice(c))
	}
	if len(p.Clients) == 0 {
		fmt.Fprintln(out, "  no client is slowed")
	}
}

func effect(s impact.Service) string {
	switch {
	case s.UnservedMilli > 0:
		return fmt.Sprintf("%.1f%% of the load does not fit", float64(s.UnservedMilli)/10)
	case s.SlowdownMilli == 0:
		return "the load fills every slot"
	}
	return fmt.Sprintf("answers take %.2f times as long", float64(s.SlowdownMilli)/1000)
}

func notice(c impact.Client) string {
	if !c.Warned {
		return "may slow, NOT told"
	}
	return fmt.Sprintf("may slow, told by %s, good until %s", c.Caller, time.UnixMilli(c.UntilMs).UTC().Format(time.RFC3339))
}

func (sh *shell) restoreCommand() *cobra.Command {
	return &cobra.Command{
		Use: "restore DATA-CENTRE", Short: "Brings a data centre back into service", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return sh.change(cmd, Call{Method: http.MethodPost, Path: "/v1/data-centres/" + url.PathEscape(args[0]) + "/back"})
		},
	}
}

func (sh *shell) noticeCommand() *cobra.Command {
	var hours uint32
	var list bool
	cmd := &cobra.Command{
		Use: "notice CLIENT SUBJECT", Short: "Records that a client was told of a planned slowdown of a data centre or service",
		Args: func(cmd *cobra.Command, args []string) error {
			if list {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(2)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if list {
				return sh.listNotices(cmd)
			}
			return sh.giveNotice(cmd, args[0], args[1], hours)
		},
	}
	cmd.Flags().Uint32Var(&hours, "hours", noticeHours, "how long the notice is good for")
	cmd.Flags().BoolVar(&list, "list", false, "shows the notices given")
	return cmd
}

func (sh *shell) giveNotice(cmd *cobra.Command, client, subject string, hours uint32) error {
	until := time.Now().Add(time.Duration(hours) * time.Hour).UnixMilli()
	body, err := json.Marshal(api.NoticeRequest{Client: client, Subject: subject, UntilMs: until})
	if err != nil {
		return err
	}
	return sh.change(cmd, Call{Method: http.MethodPost, Path: "/v1/notices", Body: body, Type: contentTypeJSON})
}

func (sh *shell) listNotices(cmd *cobra.Command) error {
	var given []struct {
		Client  string `json:"client"`
		Subject string `json:"subject"`
		Caller  string `json:"caller"`
		UntilMs int64  `json:"until_ms"`
	}
	if _, err := sh.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/notices"}, &given); err != nil {
		return err
	}
	for _, n := range given {
		fmt.Fprintf(cmd.OutOrStdout(), "%s told of %s by %s, good until %s\n",
			n.Client, n.Subject, n.Caller, time.UnixMilli(n.UntilMs).UTC().Format(time.RFC3339))
	}
	return nil
}
