package cli

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"chervilridge/internal/fault"
	"chervilridge/platform"
)

// jobPoll is the interval at which state --wait queries the job.
const jobPoll = 200 * time.Millisecond

// jobFlags holds the flags of the job commands: the address of an entry for clients, and the
// queue.
type jobFlags struct {
	at     string // host:port
	host   string
	prefix string
}

func (f *jobFlags) client() *platform.JobClient { return platform.NewJobClient(f.at, f.host, f.prefix) }

// jobCommand returns the group of job commands. They use the HTTP API for clients, not that
// for operators.
func (o *rootOptions) jobCommand() *cobra.Command {
	f := &jobFlags{}
	cmd := &cobra.Command{Use: "job", Short: "Submits, queries and cancels jobs of a queue"}
	cmd.PersistentFlags().StringVar(&f.at, "at", "127.0.0.1:8161", "address for clients of an entry, HOST:PORT")
	cmd.PersistentFlags().StringVar(&f.host, "queue-host", "", "host name of the queue")
	cmd.PersistentFlags().StringVar(&f.prefix, "queue-prefix", "/", "path prefix of the queue")
	cmd.AddCommand(submitCommand(f), stateCommand(f), cancelCommand(f), pendingCommand(f))
	return cmd
}

func submitCommand(f *jobFlags) *cobra.Command {
	return &cobra.Command{
		Use: "submit ID FILE", Short: "Submits the job described by a JSON file", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[1])
			if err != nil {
				return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, args[1], "cannot read the file")
			}
			if _, err := platform.DecodeJob(args[0], "", body); err != nil {
				return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, args[1], "not a job")
			}
			if err := f.client().Submit(cmd.Context(), args[0], body); err != nil {
				return jobError(err, fault.StepSubmit, f.at)
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
				expired := time.Now().After(deadline)
				switch {
				case err != nil && expired:
					return jobError(err, fault.StepRead, f.at)
				case err == nil && (expired || hasEnded(state)):
					fmt.Fprintln(cmd.OutOrStdout(), state)
					return nil
				}
			}
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait for the job to end; 0 queries once")
	return cmd
}

func hasEnded(state string) bool {
	return state != platform.StateQueued && state != platform.StateRunning
}

func cancelCommand(f *jobFlags) *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID", Short: "Cancels a job", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := f.client().Cancel(cmd.Context(), args[0]); err != nil {
				return jobError(err, fault.StepStop, f.at)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "cancelled", args[0])
			return nil
		},
	}
}

func pendingCommand(f *jobFlags) *cobra.Command {
	return &cobra.Command{
		Use: "pending", Short: "Counts the jobs of the queue that have not started", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			n, err := f.client().Pending(cmd.Context())
			if err != nil {
				return jobError(err, fault.StepRead, f.at)
			}
			fmt.Fprintln(cmd.OutOrStdout(), n)
			return nil
		},
	}
}

// jobError converts an error of the job client into a *fault.Error.
func jobError(err error, step fault.Step, peer string) error {
	codes := map[platform.ErrorKind]fault.Code{
		platform.Gone: fault.CodeNotFound, platform.Unavailable: fault.CodeOverloaded, platform.Invalid: fault.CodeBadRequest,
		platform.NoAnswer: fault.CodeOutcomeUnknown,
	}
	code, ok := codes[platform.KindOf(err)]
	if !ok {
		code = fault.CodeInternal
	}
	return fault.Wrap(err, code, step, peer, "call to the entry failed")
}
