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

// instanceStatus is what became of asking one instance.
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
	var all []instanceStatus
	var failed error
	for _, address := range addresses {
		one := instanceStatus{Address: address, Status: &admin.Status{}}
		if err := call(http.MethodGet, address, "/v1/status", nil, nil, one.Status); err != nil {
			one.Status, one.Error = nil, err.Error()
			failed = &problem.Problem{Code: problem.NotReady, Message: "not every instance answered"}
		}
		all = append(all, one)
	}
	if c.JSON {
		if err := printJSON(all); err != nil {
			return err
		}
		return failed
	}
	for _, one := range all {
		printStatus(one)
	}
	printBehind(all)
	return failed
}

func printStatus(one instanceStatus) {
	if one.Status == nil {
		fmt.Printf("%s: no answer: %s\n", one.Address, one.Error)
		return
	}
	status := one.Status
	fmt.Printf("%s at %s in %s: ready %t, configuration %d\n",
		status.Instance, one.Address, status.FailureDomain, status.Ready, status.ConfigSequence)
	if status.UnconfirmedSince != nil {
		fmt.Printf("  unconfirmed since %s: the store may hold a newer configuration\n", status.UnconfirmedSince.Format(time.RFC3339))
	}
	for _, m := range status.Members {
		fmt.Printf("  %-16s %-22s %-16s %-9s configuration %d\n", m.ID, m.Address, m.FailureDomain, m.State, m.ConfigSequence)
	}
}

// printBehind names the instances that have not confirmed the newest configuration seen.
func printBehind(all []instanceStatus) {
	var newest config.Revision
	for _, one := range all {
		if one.Status != nil {
			newest = max(newest, one.Status.ConfigSequence)
		}
	}
	for _, one := range all {
		switch {
		case one.Status == nil:
			fmt.Printf("not confirmed: configuration %d at %s, which did not answer\n", newest, one.Address)
		case one.Status.ConfigSequence < newest:
			fmt.Printf("not confirmed: configuration %d at %s, which has %d\n", newest, one.Status.Instance, one.Status.ConfigSequence)
		}
	}
}
