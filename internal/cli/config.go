package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"chervilridge/internal/configcheck"
	"chervilridge/internal/fault"
	"chervilridge/internal/operatorconfig"
	"chervilridge/platform"
)

// storeTimeout limits reading the version in force from the store.
const storeTimeout = 5 * time.Second

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// Output formats of the configuration check.
const (
	outputText = "text"
	outputJSON = "json"
)

// checkFlags holds the flags of the configuration check.
type checkFlags struct {
	against string
	store   string // host:port
	workers string
	jobs    []string
	queue   string
	strict  bool
	output  string
}

func (o *rootOptions) configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Checks the configuration of queues and services"}
	cmd.AddCommand(configCheckCommand())
	return cmd
}

func configCheckCommand() *cobra.Command {
	var flags checkFlags
	cmd := &cobra.Command{
		Use: "check FILE", Short: "Reports faults of a configuration before it is sent; - reads standard input", Args: cobra.ExactArgs(1),
		Long: "Reports faults of a configuration before it is sent, the most severe first, and its differences from the version in force.\n" +
			"FILE - reads standard input. Nothing is changed, and no running system is needed.\n\n" +
			"Exit status: 0; 1 if there are warnings and --strict is set; 2 if there are errors or a file can't be read.",
		RunE: func(cmd *cobra.Command, args []string) error { return checkConfig(cmd, args[0], flags) },
	}
	cmd.Flags().StringVar(&flags.against, "against", "", "file with the version in force")
	cmd.Flags().StringVar(&flags.store, "store", "", "HOST:PORT of the platform's store, from which the version in force is read")
	cmd.Flags().StringVar(&flags.workers, "workers", "", "file with a JSON array of the known workers' heartbeats")
	cmd.Flags().StringArrayVar(&flags.jobs, "job", nil, "file with a job to check against the configuration; may be repeated")
	cmd.Flags().StringVar(&flags.queue, "queue", "", "name of the queue of the jobs; without it, they are checked against the services of all queues")
	cmd.Flags().BoolVar(&flags.strict, "strict", false, "end with status 1 if there are warnings")
	cmd.Flags().StringVar(&flags.output, "output", outputText, "format of the output: text or json")
	cmd.MarkFlagsMutuallyExclusive("against", "store")
	return cmd
}

// checkConfig reads the files, prints the findings, and returns an error if the exit status is
// not to be 0.
func checkConfig(cmd *cobra.Command, file string, flags checkFlags) error {
	if flags.output != outputText && flags.output != outputJSON {
		return fault.Newf(fault.CodeBadSetting, fault.StepSettings, "", "--output is %q, not %s or %s", flags.output, outputText, outputJSON)
	}
	in, err := readCheckInput(cmd, file, flags)
	if err != nil {
		return err
	}
	unreachable := ""
	if flags.store != "" {
		if in.InForce, err = readConfigInForce(cmd.Context(), flags.store); err != nil {
			unreachable = fmt.Sprintf("the version in force, which can't be read from the store at %s: %v", flags.store, err)
		}
	}
	report := configcheck.Check(in)
	if unreachable != "" {
		report.Unchecked[slices.Index(report.Unchecked, configcheck.UncheckedInForce)] = unreachable
	}
	if flags.output == outputJSON {
		err = writeReportJSON(cmd.OutOrStdout(), file, report)
	} else {
		err = writeReport(cmd.OutOrStdout(), report)
	}
	if err != nil {
		return err
	}
	switch errs, warnings := report.Count(configcheck.Error), report.Count(configcheck.Warning); {
	case errs > 0:
		return fault.Newf(fault.CodeBadSetting, fault.StepConfig, file, "the check found %s", count(errs, "error"))
	case warnings > 0 && flags.strict:
		return fault.Newf(fault.CodeBadRequest, fault.StepConfig, file, "the check found %s, which --strict doesn't allow", count(warnings, "warning"))
	}
	return nil
}

// readCheckInput reads the files that the command line names.
func readCheckInput(cmd *cobra.Command, file string, flags checkFlags) (configcheck.Input, error) {
	var in configcheck.Input
	fromInput := 0
	for _, name := range append([]string{file, flags.against, flags.workers}, flags.jobs...) {
		if name == standardInput {
			fromInput++
		}
	}
	if fromInput > 1 {
		return in, fault.New(fault.CodeBadSetting, fault.StepSettings, "", "standard input is named more than once")
	}
	var err error
	if in.Config, err = readFile(cmd, file); err != nil {
		return in, err
	}
	if flags.against != "" {
		document, err := readFile(cmd, flags.against)
		if err != nil {
			return in, err
		}
		if in.InForce, err = platform.DecodeConfig(document); err != nil {
			return in, fault.Wrap(err, fault.CodeBadSetting, fault.StepParse, flags.against, "not a configuration")
		}
	}
	if flags.workers != "" {
		document, err := readFile(cmd, flags.workers)
		if err != nil {
			return in, err
		}
		if in.Workers, err = platform.DecodeHeartbeats(document); err != nil {
			return in, fault.Wrap(err, fault.CodeBadSetting, fault.StepParse, flags.workers, "not an array of heartbeats")
		}
	}
	for _, name := range flags.jobs {
		body, err := readFile(cmd, name)
		if err != nil {
			return in, err
		}
		in.Jobs = append(in.Jobs, configcheck.Job{File: name, Body: body, Queue: flags.queue})
	}
	return in, nil
}

// readFile reads a file, or standard input for "-".
func readFile(cmd *cobra.Command, name string) ([]byte, error) {
	var body []byte
	var err error
	if name == standardInput {
		body, err = io.ReadAll(cmd.InOrStdin())
	} else {
		body, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadSetting, fault.StepParse, name, "cannot read the file")
	}
	return body, nil
}

// readConfigInForce reads the newest configuration of the store.
func readConfigInForce(ctx context.Context, address string) (*operatorconfig.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := platform.NewStore(address)
	for after := ""; ; {
		page, err := store.Newest(ctx, platform.OperatorTopic, after)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			if kind, _ := platform.ClassifyOperatorKey(r.Key); kind == platform.RecordConfig {
				return platform.DecodeConfig(r.Value)
			}
		}
		if after = page.After; after == "" {
			return nil, errors.New("it holds no configuration")
		}
	}
}

// writeReport prints one line for each finding, one for what was not checked, and the counts.
func writeReport(out io.Writer, r configcheck.Report) error {
	var b strings.Builder
	for _, f := range r.Findings {
		at := f.Path
		switch {
		case f.File != "" && f.Path != "":
			at = f.File + " " + f.Path
		case f.File != "":
			at = f.File
		case f.Path == "":
			at = "the document"
		}
		fmt.Fprintf(&b, "%-7s %s: %s [%s]\n", f.Severity, at, f.Message, f.Code)
	}
	if len(r.Unchecked) > 0 {
		fmt.Fprintf(&b, "not checked: %s\n", strings.Join(r.Unchecked, "; "))
	}
	fmt.Fprintf(&b, "%s, %s, %s\n", count(r.Count(configcheck.Error), "error"), count(r.Count(configcheck.Warning), "warning"),
		count(r.Count(configcheck.Info), "note"))
	_, err := io.WriteString(out, b.String())
	return err
}

// writeReportJSON prints the report as a JSON object.
func writeReportJSON(out io.Writer, file string, r configcheck.Report) error {
	e := json.NewEncoder(out)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(struct {
		File string `json:"file"`
		configcheck.Report
	}{file, r})
}

// count returns a number with a noun in its singular or plural.
func count(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return fmt.Sprintf("%d %s", n, noun)
}
