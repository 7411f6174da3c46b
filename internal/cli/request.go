package cli

import (
	"fmt"
	"net/http"

	"github.com/spf13/cobra"
)

func (o *rootOptions) requestCommand() *cobra.Command {
	var body string
	cmd := &cobra.Command{
		Use: "request SERVICE", Short: "Sends one request to a service and prints the answer", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			call := Call{Method: http.MethodPost, Path: "/v1/services/" + args[0] + "/requests", Body: []byte(body), ContentType: contentTypeJSON}
			answer, err := o.client.Do(cmd.Context(), call, nil)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(answer))
			return err
		},
	}
	cmd.Flags().StringVar(&body, "body", "{}", "body of the request, JSON")
	return cmd
}
