package cli

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"chervilridge/internal/entry/api"
	"chervilridge/internal/fault"
	"chervilridge/internal/jobs"
)

const jobPoll = 200 * time.Millisecond

func (sh *shell) submitCommand() *cobra.Command {
	var key string
	cmd := &cobra.Command{
		Use: "submit FILE", Short: "Submits the job that a JSON file describes", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[0])
			if err != nil {
				return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, args[0], "cannot read the file")
			}
			var out jobs.Submission
			call := Call{Method: http.MethodPost, Path: "/v1/jobs", Body: body, Type: contentTypeJSON, Key: key}
			if _, err := sh.client.Do(cmd.Context(), call, &out); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), out.JobID)
			return nil
		},
	}
	cmd.Flags().StringVar(&key, "key", "", "idempotency key; the same key always means the same job")
	return cmd
}

func (sh *shell) jobCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use: "job ID", Short: "Shows a job and its tasks", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			deadline := time.Now().Add(wait)
			for {
				var job api.JobView
				_, err := sh.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/jobs/" + args[0]}, &job)
				if err != nil && time.Now().After(deadline) {
					return err
				}
				if err == nil && (ended(job) || time.Now().After(deadline)) {
					return sh.print(cmd, job)
				}
				time.Sleep(jobPoll)
			}
		},
	}
	cmd.Flags().DurationVar(&wait, "wait", 0, "how long to wait for all tasks to end")
	return cmd
}

func ended(job api.JobView) bool { return job.States["pending"] == 0 && job.States["assigned"] == 0 }

func (sh *shell) cancelCommand() *cobra.Command {
	return &cobra.Command{
		Use: "cancel ID", Short: "Cancels a job", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := sh.client.Do(cmd.Context(), Call{Method: http.MethodDelete, Path: "/v1/jobs/" + args[0]}, nil)
			if err == nil {
				fmt.Fprintln(cmd.OutOrStdout(), "cancelled", args[0])
			}
			return err
		},
	}
}

func (sh *shell) explainCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "explain", Short: "Tells why things are as they are"}
	cmd.AddCommand(&cobra.Command{
		Use: "task JOB INDEX", Short: "Tells a task's whole life", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var t api.TaskView
			call := Call{Method: http.MethodGet, Path: "/v1/jobs/" + args[0] + "/tasks/" + args[1]}
			if _, err := sh.client.Do(cmd.Context(), call, &t); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "task %s/%s is %s after %d attempts, %d failures\n", args[0], args[1], t.State, t.Attempt, t.Failures)
			for _, h := range t.History {
				fmt.Fprintf(out, "  %s  attempt %d on %s, epoch %d: %s %s\n",
					time.UnixMilli(h.TimeMs).UTC().Format(time.RFC3339Nano), h.Attempt, h.Worker, h.Epoch, h.What, h.Detail)
			}
			return nil
		},
	})
	return cmd
}
