package main

// Help implements kong.HelpProvider.
func (demoCmd) Help() string {
	return `Examples:

    hyssopctl demo

    hyssopctl demo --once --port 0,0`
}

// Help implements kong.HelpProvider.
func (standinsCmd) Help() string {
	return `The faults of the platform and of each searcher are read and switched at /v1/faults of their addresses;
the objects targets/INDEX name the addresses of the searchers.

Examples:

    hyssopctl standins

    curl -X PUT http://127.0.0.1:7000/v1/faults -d '{"outage":"refuse"}'

    curl -X DELETE http://127.0.0.1:7000/v1/faults`
}

// Help implements kong.HelpProvider.
func (pathCostCmd) Help() string {
	return `Examples:

    hyssopctl standins --fan-out 10,440

    hyssopctl path-cost --fan-out 10,440`
}

// Help implements kong.HelpProvider.
func (measureListCmd) Help() string { return "Examples:\n\n    hyssopctl measure list" }

// Help implements kong.HelpProvider.
func (measureRunCmd) Help() string {
	return "Examples:\n\n    hyssopctl measure run NAME --seed 2\n\n    hyssopctl --json measure NAME"
}

// Help implements kong.HelpProvider.
func (planListCmd) Help() string { return "Examples:\n\n    hyssopctl plan list" }

// Help implements kong.HelpProvider.
func (planGetCmd) Help() string { return "Examples:\n\n    hyssopctl plan get counter" }

// Help implements kong.HelpProvider.
func (planPutCmd) Help() string {
	return `The revision is the one that "plan get" shows. After a lost answer, repeat the command with the same
--edit-id: the edit is applied once.

Examples:

    echo '{"name":"counter","priority":"high","prefer":"tail"}' | hyssopctl plan put --revision 1

    hyssopctl plan put --revision 0 --edit-id add-proofs proofs.json`
}

// Help implements kong.HelpProvider.
func (planDeleteCmd) Help() string {
	return "Examples:\n\n    hyssopctl plan delete --revision 3 counter"
}

// Help implements kong.HelpProvider.
func (limitListCmd) Help() string { return "Examples:\n\n    hyssopctl limit list" }

// Help implements kong.HelpProvider.
func (limitGetCmd) Help() string { return "Examples:\n\n    hyssopctl limit get counter" }

// Help implements kong.HelpProvider.
func (limitPutCmd) Help() string {
	return `The revision is the one that "limit get" shows. After a lost answer, repeat the command with the same
--edit-id: the edit is applied once.

Examples:

    hyssopctl limit put --revision 1 limit.json

    hyssopctl limit put --revision 1 --edit-id more-rate limit.json`
}

// Help implements kong.HelpProvider.
func (limitDeleteCmd) Help() string {
	return "Examples:\n\n    hyssopctl limit delete --revision 3 counter"
}
