package workeragent

import (
	"fmt"
	"net"

	"chervilridge/platform"
)

// checkSender returns an error if a heartbeat is not of the worker beside this agent, which the
// node's settings name by its service and its port.
func checkSender(n *platform.NodeSettings, h platform.Heartbeat) error {
	if n.Service != "" && h.Service != n.Service {
		return fmt.Errorf("heartbeat of service %.100q, but the worker beside this agent is of %q", h.Service, n.Service)
	}
	_, expected, err := net.SplitHostPort(n.WorkerAddress)
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(h.Address)
	if err != nil || port != expected {
		return fmt.Errorf("heartbeat of %.100q, but the worker beside this agent listens at %q", h.Address, n.WorkerAddress)
	}
	return nil
}
