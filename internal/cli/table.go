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

func (o *rootOptions) tableCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "table", Short: "Shows and changes the table"}
	cmd.AddCommand(o.tableGetCommand(), o.tablePutCommand(), o.tableSetCommand(), o.tableDeleteCommand())
	return cmd
}

func (o *rootOptions) tableGetCommand() *cobra.Command {
	return &cobra.Command{
		Use: "get", Short: "Prints the current table as CSV", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := o.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/table"}, nil)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(body)
			return err
		},
	}
}

func (o *rootOptions) tablePutCommand() *cobra.Command {
	return &cobra.Command{
		Use: "put FILE", Short: "Writes the rows of a CSV file; a row is rejected if its version column is out of date", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := os.ReadFile(args[0])
			if err != nil {
				return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, args[0], "cannot read the file")
			}
			if _, err := table.ReadCSV(bytes.NewReader(body)); err != nil {
				return err
			}
			return o.putRows(cmd, body)
		},
	}
}

// putRows writes the rows of a CSV file and prints the outcome of each. It returns an error
// if any of them was not written.
func (o *rootOptions) putRows(cmd *cobra.Command, csv []byte) error {
	var changes []api.ChangeResult
	call := Call{Method: http.MethodPut, Path: "/v1/table/rows", Body: csv, ContentType: contentTypeCSV}
	if _, err := o.client.Do(cmd.Context(), call, &changes); err != nil {
		return err
	}
	failed := 0
	for _, c := range changes {
		if c.Outcome == fault.Done {
			fmt.Fprintf(cmd.OutOrStdout(), "%s in effect at table version %d\n", c.Row, c.Version)
			continue
		}
		failed++
		fmt.Fprintf(cmd.OutOrStdout(), "%s (line %d) %s: %s\n", c.Row, c.Line, c.Outcome, c.Detail)
	}
	if failed == 0 {
		return nil
	}
	return fault.Newf(fault.CodeConflict, fault.StepConfig, "", "%d of %d rows not done, see the lines above; the others are in effect", failed, len(changes)).WithOutcome(fault.Unknown)
}

func (o *rootOptions) tableSetCommand() *cobra.Command {
	return &cobra.Command{
		Use: "set KIND NAME COLUMN=VALUE...", Short: "Changes cells of one row, or adds the row", Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			row, err := o.findRow(cmd, args[0], args[1])
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
			return o.putRows(cmd, csv.Bytes())
		},
	}
}

// findRow returns the current row, or a new one of weight 1 if there is none.
func (o *rootOptions) findRow(cmd *cobra.Command, kindName, name string) (*pb.Row, error) {
	kind, err := table.ParseKind(kindName)
	if err != nil {
		return nil, fault.New(fault.CodeBadRequest, fault.StepParse, "", err.Error())
	}
	body, err := o.client.Do(cmd.Context(), Call{Method: http.MethodGet, Path: "/v1/table"}, nil)
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

func (o *rootOptions) tableDeleteCommand() *cobra.Command {
	return &cobra.Command{
		Use: "delete KIND NAME", Short: "Removes a row", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			row, err := o.findRow(cmd, args[0], args[1])
			if err != nil {
				return err
			}
			path := "/v1/table/rows/" + args[0] + "/" + args[1] + "?version=" + strconv.FormatUint(row.Version, 10)
			return o.sendChange(cmd, Call{Method: http.MethodDelete, Path: path})
		},
	}
}

// sendChange makes a call that changes one row, and prints the outcome.
func (o *rootOptions) sendChange(cmd *cobra.Command, call Call) error {
	var change api.ChangeResult
	if _, err := o.client.Do(cmd.Context(), call, &change); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s in effect at table version %d\n", change.Row, change.Version)
	return nil
}
