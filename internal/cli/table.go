package cli

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/entry/api"
	"chervilridge/internal/fault"
	"chervilridge/internal/table"
)

func (sh *shell) tableCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "table", Short: "Shows and changes the table"}
	cmd.AddCommand(sh.tableGetCommand(), sh.tablePutCommand(), sh.tableSetCommand(), sh.tableDeleteCommand())
	return cmd
}

func (sh *shell) tableGetCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get", Short: "Prints the table in force as CSV", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := sh.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/table"}, nil)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(body)
			return err
		},
	}
}

func (sh *shell) tablePutCommand() *cobra.Command {
	return &cobra.Command{
		Use: "put FILE", Short: "Writes the rows of a CSV file; the version column says what each builds on", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[0])
			if err != nil {
				return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, args[0], "cannot read the file")
			}
			if _, err := table.ReadCSV(bytes.NewReader(body)); err != nil {
				return err
			}
			return sh.putRows(cmd, body)
		},
	}
}

// putRows writes the rows of a CSV file and reports each; it fails if one of
// them is not done.
func (sh *shell) putRows(cmd *cobra.Command, csv []byte) error {
	var changes []api.ChangeResult
	call := Call{Method: http.MethodPut, Path: "/v1/table/rows", Body: csv, Type: contentTypeCSV}
	if _, err := sh.client.Do(cmd.Context(), call, &changes); err != nil {
		return err
	}
	failed := 0
	for _, c := range changes {
		if c.Outcome == fault.Done {
			fmt.Fprintf(cmd.OutOrStdout(), "%s in force at table version %d\n", c.Row, c.Version)
			continue
		}
		failed++
		fmt.Fprintf(cmd.OutOrStdout(), "%s (line %d) %s: %s\n", c.Row, c.Line, c.Outcome, c.Detail)
	}
	if failed == 0 {
		return nil
	}
	return fault.Newf(fault.CodeConflict, fault.StepConfig, "", "%d of %d rows not done, see the lines above; the others are in force", failed, len(changes)).WithOutcome(fault.Unknown)
}

func (sh *shell) tableSetCommand() *cobra.Command {
	return &cobra.Command{
		Use: "set KIND NAME COLUMN=VALUE...", Short: "Changes cells of one row, or adds the row", Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			row, err := sh.findRow(cmd, args[0], args[1])
			if err != nil {
				return err
			}
			for _, cell := range args[2:] {
				column, value, ok := strings.Cut(cell, "=")
				if !ok {
					return fault.Newf(fault.CodeBadRequest, fault.StepParse, "", "%q is not COLUMN=VALUE", cell)
				}
				if err := table.SetCell(row, column, value); err != nil {
					return fault.New(fault.CodeBadRequest, fault.StepParse, "", err.Error())
				}
			}
			var csv bytes.Buffer
			if err := table.WriteCSV(&csv, []*pb.Row{row}); err != nil {
				return err
			}
			return sh.putRows(cmd, csv.Bytes())
		},
	}
}

// findRow returns the row in force, or a new one.
func (sh *shell) findRow(cmd *cobra.Command, kindName, name string) (*pb.Row, error) {
	kind, err := table.ParseKind(kindName)
	if err != nil {
		return nil, fault.New(fault.CodeBadRequest, fault.StepParse, "", err.Error())
	}
	body, err := sh.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/table"}, nil)
	if err != nil {
		return nil, err
	}
	rows, err := table.ReadCSV(bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		if r.Kind == kind && r.Name == name {
			return r, nil
		}
	}
	return &pb.Row{Kind: kind, Name: name, Weight: 1}, nil
}

func (sh *shell) tableDeleteCommand() *cobra.Command {
	return &cobra.Command{
		Use: "delete KIND NAME", Short: "Removes a row", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			row, err := sh.findRow(cmd, args[0], args[1])
			if err != nil {
				return err
			}
			path := "/v1/table/rows/" + args[0] + "/" + args[1] + "?version=" + strconv.FormatUint(row.Version, 10)
			return sh.change(cmd, Call{Method: http.MethodDelete, Path: path})
		},
	}
}

func (sh *shell) change(cmd *cobra.Command, call Call) error {
	var done api.ChangeResult
	if _, err := sh.client.Do(cmd.Context(), call, &done); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s in force at table version %d\n", done.Row, done.Version)
	return nil
}
