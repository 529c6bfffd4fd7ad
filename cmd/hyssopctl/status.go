package main

import (
	"fmt"
	"net/http"
	"time"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
)

type statusCmd struct {
	Instances []string `arg:"" optional:"" help:"Addresses of instances; the one of --instance if there are none."`
}

// Help implements kong.HelpProvider.
func (statusCmd) Help() string {
	return `Prints the instances in the order of their addresses, then which of them are behind the newest
configuration. An instance that does not answer is listed and makes the exit code 6.

Examples:

    hyssopctl status

    hyssopctl status 127.0.0.1:7101 127.0.0.1:7102

    hyssopctl --json status 127.0.0.1:7101 127.0.0.1:7102`
}

// instanceStatus is the status of one instance, or the error of the call if Status is nil.
type instanceStatus struct {
	Address string        `json:"address"`
	Status  *admin.Status `json:"status,omitempty"`
	Error   string        `json:"error,omitempty"`
}

// Run prints the status of each instance.
func (s statusCmd) Run(c *cli) error {
	addresses := s.Instances
	if len(addresses) == 0 {
		addresses = []string{c.Instance}
	}
	var results []instanceStatus
	var partialErr error
	for _, address := range addresses {
		result := instanceStatus{Address: address, Status: &admin.Status{}}
		if err := call(http.MethodGet, address, "/v1/status", nil, nil, result.Status); err != nil {
			result.Status, result.Error = nil, err.Error()
			partialErr = &problem.Problem{Code: problem.NotReady, Message: "not every instance answered"}
		}
		results = append(results, result)
	}
	if c.JSON {
		if err := printJSON(results); err != nil {
			return err
		}
		return partialErr
	}
	for _, result := range results {
		printStatus(result)
	}
	printBehind(results)
	return partialErr
}

func printStatus(result instanceStatus) {
	if result.Status == nil {
		fmt.Printf("%s: no answer: %s\n", result.Address, result.Error)
		return
	}
	status := result.Status
	fmt.Printf("%s at %s in %s: ready %t, configuration %d\n",
		status.Instance, result.Address, status.FailureDomain, status.Ready, status.ConfigSequence)
	if status.UnconfirmedSince != nil {
		fmt.Printf("  unconfirmed since %s: the store may hold a newer configuration\n",
			status.UnconfirmedSince.Format(time.RFC3339))
	}
	for _, m := range status.Members {
		fmt.Printf("  %-16s %-22s %-16s %-9s configuration %d\n", m.ID, m.Address, m.FailureDomain, m.State, m.ConfigSequence)
	}
}

// printBehind prints a line for each instance that has not confirmed the newest configuration in the results.
func printBehind(results []instanceStatus) {
	var newest config.Revision
	for _, result := range results {
		if result.Status != nil {
			newest = max(newest, result.Status.ConfigSequence)
		}
	}
	for _, result := range results {
		switch {
		case result.Status == nil:
			fmt.Printf("not confirmed: configuration %d at %s, which did not answer\n", newest, result.Address)
		case result.Status.ConfigSequence < newest:
			fmt.Printf("not confirmed: configuration %d at %s, which has %d\n",
				newest, result.Status.Instance, result.Status.ConfigSequence)
		}
	}
}
