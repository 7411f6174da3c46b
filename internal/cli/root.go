package cli

import (
	"fmt"
	"net/http"
	"os/user"

	"github.com/spf13/cobra"

	"chervilridge/internal/settings"
)

// rootOptions holds what the commands share. client is set once the flags have been parsed.
type rootOptions struct {
	set      *settings.Set
	entries  *[]string
	operator *string
	client   *Client
}

// New returns the root command of chervilctl.
func New() *cobra.Command {
	o := &rootOptions{set: settings.New("chervilctl")}
	o.entries = o.set.Addresses("entry", "127.0.0.1:8080", "HTTP addresses of entries, tried in turn")
	o.operator = o.set.String("operator", userName(), "name recorded as the author of each change", true)
	root := &cobra.Command{
		Use: "chervilctl", Short: "Operates chervilridge: the table, data centres, jobs", SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := o.set.Load(nil); err != nil {
				return err
			}
			o.client = NewClient(*o.entries, *o.operator)
			return nil
		},
	}
	o.set.Bind(root.PersistentFlags())
	root.AddCommand(o.tableCommand(), o.drainCommand(), o.restoreCommand(), o.statusCommand(), o.waitCommand(),
		o.settingsCommand(), o.jobCommand(), o.noticeCommand(), o.requestCommand(), o.configCommand())
	return root
}

// userName returns the name of the current user, the default of --operator.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func (o *rootOptions) settingsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "settings", Short: "Prints the settings in effect at an entry", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []settings.Setting
			if _, err := o.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/settings"}, &list); err != nil {
				return err
			}
			for _, s := range list {
				fmt.Fprintf(cmd.OutOrStdout(), "%-18s %-24s %-12s unit: %s; range: %s; variable: %s\n",
					s.Name, s.Value, s.Source, s.Unit, s.Range, s.Env)
			}
			return nil
		},
	}
}
