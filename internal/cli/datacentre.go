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

// defaultNoticeHours is the default validity of a notice.
const defaultNoticeHours = 24

// drainFlags holds the flags of the drain command.
type drainFlags struct {
	plan   bool
	yes    bool
	called []string
	hours  uint32
}

func (o *rootOptions) drainCommand() *cobra.Command {
	var flags drainFlags
	cmd := &cobra.Command{
		Use: "drain DATA-CENTRE", Short: "Takes a data centre out of service; --plan only shows the effect on services and clients", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return o.drain(cmd, args[0], flags) },
	}
	cmd.Flags().BoolVar(&flags.plan, "plan", false, "only show which services and clients may slow down, by how much, and which clients were told")
	cmd.Flags().BoolVar(&flags.yes, "yes", false, "continue although clients that may slow down were not told")
	cmd.Flags().StringSliceVar(&flags.called, "called", nil, "clients that have just been told; their notices are recorded before the change")
	cmd.Flags().Uint32Var(&flags.hours, "hours", defaultNoticeHours, "validity of the notices of --called, in hours")
	return cmd
}

// drain takes a data centre out of service, or only prints the plan. The change names the
// row version of the plan, so that it fails if another operator has changed the row since.
// Without --yes it is rejected while affected clients have no notice.
func (o *rootOptions) drain(cmd *cobra.Command, name string, flags drainFlags) error {
	for _, client := range flags.called {
		if err := o.recordNotice(cmd, client, name, flags.hours); err != nil {
			return err
		}
	}
	plan, err := o.fetchPlan(cmd, name)
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
	return o.sendChange(cmd, Call{Method: http.MethodPost, Path: "/v1/data-centres/" + url.PathEscape(name) + "/out" + version})
}

// fetchPlan returns the effect of taking the data centre out of service at the present load.
func (o *rootOptions) fetchPlan(cmd *cobra.Command, name string) (impact.Plan, error) {
	var p impact.Plan
	_, err := o.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/data-centres/" + url.PathEscape(name) + "/plan"}, &p)
	return p, err
}

func printPlan(out io.Writer, p impact.Plan) {
	fmt.Fprintf(out, "predicted effect of taking %s out of service at the current load:\n", p.DataCentre)
	fmt.Fprintf(out, "  batch: %d of %d workers leave\n", p.WorkersLeaving, p.Workers)
	for _, s := range p.Services {
		fmt.Fprintf(out, "  service %s: %d of %d slots left for %d requests, %s\n", s.Name, s.SlotsAfter, s.SlotsNow, s.Load, describeLoad(s))
	}
	for _, c := range p.Clients {
		fmt.Fprintf(out, "  client %s (weight %d, %q): %s\n", c.Name, c.Weight, c.Contact, describeNotice(c))
	}
	if len(p.Clients) == 0 {
		fmt.Fprintln(out, "  no client is slowed")
	}
}

// describeLoad describes how the rest of the slots serves the load of a service.
func describeLoad(s impact.Service) string {
	switch {
	case s.UnservedMilli > 0:
		return fmt.Sprintf("%.1f%% of the load does not fit", float64(s.UnservedMilli)/10)
	case s.SlowdownMilli == 0:
		return "the load fills every slot"
	}
	return fmt.Sprintf("answers take %.2f times as long", float64(s.SlowdownMilli)/1000)
}

// describeNotice describes whether a client that may slow down was told.
func describeNotice(c impact.Client) string {
	if !c.Warned {
		return "may slow, NOT told"
	}
	return fmt.Sprintf("may slow, told by %s, valid until %s", c.Caller, time.UnixMilli(c.UntilMs).UTC().Format(time.RFC3339))
}

func (o *rootOptions) restoreCommand() *cobra.Command {
	return &cobra.Command{
		Use: "restore DATA-CENTRE", Short: "Brings a data centre back into service", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.sendChange(cmd, Call{Method: http.MethodPost, Path: "/v1/data-centres/" + url.PathEscape(args[0]) + "/back"})
		},
	}
}

func (o *rootOptions) noticeCommand() *cobra.Command {
	var hours uint32
	var list bool
	cmd := &cobra.Command{
		Use: "notice CLIENT SUBJECT", Short: "Records that a client was told of a planned slowdown; SUBJECT is a data centre or service",
		Args: func(cmd *cobra.Command, args []string) error {
			if list {
				return cobra.NoArgs(cmd, args)
			}
			return cobra.ExactArgs(2)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if list {
				return o.listNotices(cmd)
			}
			return o.recordNotice(cmd, args[0], args[1], hours)
		},
	}
	cmd.Flags().Uint32Var(&hours, "hours", defaultNoticeHours, "validity of the notice, in hours")
	cmd.Flags().BoolVar(&list, "list", false, "list the recorded notices")
	return cmd
}

func (o *rootOptions) recordNotice(cmd *cobra.Command, client, subject string, hours uint32) error {
	until := time.Now().Add(time.Duration(hours) * time.Hour).UnixMilli()
	body, err := json.Marshal(api.NoticeRequest{Client: client, Subject: subject, UntilMs: until})
	if err != nil {
		return err
	}
	return o.sendChange(cmd, Call{Method: http.MethodPost, Path: "/v1/notices", Body: body, ContentType: contentTypeJSON})
}

func (o *rootOptions) listNotices(cmd *cobra.Command) error {
	var notices []struct {
		Client  string `json:"client"`
		Subject string `json:"subject"`
		Caller  string `json:"caller"`
		UntilMs int64  `json:"until_ms"`
	}
	if _, err := o.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/notices"}, &notices); err != nil {
		return err
	}
	for _, n := range notices {
		fmt.Fprintf(cmd.OutOrStdout(), "%s told of %s by %s, valid until %s\n",
			n.Client, n.Subject, n.Caller, time.UnixMilli(n.UntilMs).UTC().Format(time.RFC3339))
	}
	return nil
}
