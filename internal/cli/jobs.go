package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"chervilridge/internal/fault"
	"chervilridge/platform"
)

const jobPoll = 200 * time.Millisecond

// jobFlags name the queue that a job command is about.
type jobFlags struct {
	at     string
	host   string
	prefix string
}

func (f *jobFlags) client() *platform.JobClient { return platform.NewJobClient(f.at, f.host, f.prefix) }

// jobCommand has the commands about jobs. They speak to an entry as clients do.
func (sh *shell) jobCommand() *cobra.Command {
	f := &jobFlags{}
	cmd := &cobra.Command{Use: "job", Short: "Submits, follows and cancels jobs of a queue"}
	cmd.PersistentFlags().StringVar(&f.at, "at", "127.0.0.1:8161", "where an entry takes clients, HOST:PORT")
	cmd.PersistentFlags().StringVar(&f.host, "queue-host", "", "host name of the queue")
	cmd.PersistentFlags().StringVar(&f.prefix, "queue-prefix", "/", "path prefix of the queue")
	cmd.AddCommand(submitCommand(f), stateCommand(f), cancelCommand(f), pendingCommand(f))
	return cmd
}

func submitCommand(f *jobFlags) *cobra.Command {
	return &cobra.Command{
		Use: "submit ID FILE", Short: "Submits the job that a JSON file describes", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[1])
			if err != nil {
				return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, args[1], "cannot read the file")
			}
			if _, err := platform.DecodeJob(args[0], "", body); err != nil {
				return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, args[1], "not a job")
			}
			if err := f.client().Submit(cmd.Context(), args[0], body); err != nil {
				return failed(err, fault.StepSubmit, f.at)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "accepted", args[0])
			return nil
		},
	}
}

func stateCommand(f *jobFlags) *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "state ID", Short: "Shows the state of a job", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for deadline := time.Now().Add(wait); ; time.Sleep(jobPoll) {
				state, err := f.client().State(cmd.Context(), args[0])
				late := time.Now().After(deadline)
				switch {
				case err != nil && late:
					return failed(err, fault.StepRead, f.at)
				case err == nil && (late || ended(state)):
					fmt.Fprintln(cmd.OutOrStdout(), state)
					return nil
				}
			}
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait for the job to end")
	return cmd
}

func ended(state string) bool { return state != platform.StateQueued && state != platform.StateRunning }

func cancelCommand(f *jobFlags) *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID", Short: "Cancels a job", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.client().Cancel(cmd.Context(), args[0]); err != nil {
				return failed(err, fault.StepStop, f.at)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "cancelled", args[0])
			return nil
		},
	}
}

func pendingCommand(f *jobFlags) *cobra.Command {
	return &cobra.Command{
		Use: "pending", Short: "Counts the jobs of the queue that have not begun", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			n, err := f.client().Pending(cmd.Context())
			if err != nil {
				return failed(err, fault.StepRead, f.at)
			}
			fmt.Fprintln(cmd.OutOrStdout(), n)
			return nil
		},
	}
}

// failed translates a failed call for the operator.
func failed(err error, step fault.Step, peer string) error {
	codes := map[platform.ErrorKind]fault.Code{
		platform.Gone: fault.CodeNotFound, platform.Unavailable: fault.CodeOverloaded, platform.Invalid: fault.CodeBadRequest,
		platform.NoAnswer: fault.CodeOutcomeUnknown,
	}
	code, ok := codes[platform.KindOf(err)]
	if !ok {
		code = fault.CodeInternal
	}
	return fault.Wrap(err, code, step, peer, "the entry did not do it")
}
