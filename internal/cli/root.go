package cli

import (
	"fmt"
	"net/http"
	"os/user"

	"github.com/spf13/cobra"

	"chervilridge/internal/settings"
)

// shell is what all commands share.
type shell struct {
	set      *settings.Set
	entries  *[]string
	operator *string
	client   *Client
}

// New returns the root command of chervilctl.
func New() *cobra.Command {
	sh := &shell{set: settings.New("chervilctl")}
	sh.entries = sh.set.Addresses("entry", "127.0.0.1:8080", "HTTP addresses of entries, tried in turn")
	sh.operator = sh.set.String("operator", userName(), "name written beside each change", true)
	root := &cobra.Command{
		Use: "chervilctl", Short: "Drives chervilridge: the table, data centres, jobs", SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := sh.set.Load(nil); err != nil {
				return err
			}
			sh.client = NewClient(*sh.entries, *sh.operator)
			return nil
		},
	}
	sh.set.Bind(root.PersistentFlags())
	root.AddCommand(sh.tableCommand(), sh.drainCommand(), sh.restoreCommand(), sh.statusCommand(), sh.waitCommand(),
		sh.settingsCommand(), sh.jobCommand(), sh.noticeCommand(), sh.requestCommand())
	return root
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "operator"
}

func (sh *shell) settingsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "settings", Short: "Prints the settings in force at an entry", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []settings.Setting
			if _, err := sh.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/settings"}, &list); err != nil {
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
