package main

import (
	"fmt"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/instance/app"
	"hyssopcroft.example/instance/edge"
	"hyssopcroft.example/kernel/settings"
)

type checkCmd struct {
	File    string `arg:"" type:"path" help:"Settings file of an instance."`
	Gateway bool   `help:"The file is for hyssopcroft gateway."`
}

// Help implements kong.HelpProvider.
func (checkCmd) Help() string {
	return `Prints all faults of the file at once, each with the path of its key and what was expected there, and
exits with 5 if there are any.

Examples:

    hyssopctl check examples/entry-1.json

    hyssopctl --json check examples/entry-1.json

    hyssopctl check --gateway examples/gateway-1.json`
}

// Run prints all faults of a settings file.
func (cmd checkCmd) Run(c *cli) error {
	_, err := app.LoadSettings(cmd.File)
	if cmd.Gateway {
		_, err = edge.LoadSettings(cmd.File)
	}
	var faults *settings.FaultsError
	switch {
	case err == nil && c.JSON:
		return printJSON([]settings.Fault{})
	case err == nil:
		fmt.Println(cmd.File + ": no faults")
		return nil
	case errors.As(err, &faults) && c.JSON:
		if printErr := printJSON(faults.Faults); printErr != nil {
			return printErr
		}
	}
	return &problem.Problem{Code: problem.Invalid, Message: err.Error()}
}

type settingsReferenceCmd struct {
	Gateway bool `help:"Print the page of hyssopcroft gateway."`
}

// Help implements kong.HelpProvider.
func (settingsReferenceCmd) Help() string {
	return `Examples:

    hyssopctl settings-reference > docs/settings.md

    hyssopctl settings-reference --gateway > docs/settings-gateway.md`
}

// Run prints the reference page of the settings.
func (r settingsReferenceCmd) Run(c *cli) error {
	reference := instanceSettingsReference
	if r.Gateway {
		reference = gatewaySettingsReference
	}
	page, err := reference()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(map[string]string{"page": page})
	}
	fmt.Print(page)
	return nil
}

func instanceSettingsReference() (string, error) {
	return settings.Reference("Settings of an instance",
		"`hyssopctl settings-reference` makes this page from `instance/app/settings.schema.json`. An instance reads\n"+
			"one JSON file at its start; `hyssopctl check FILE` reports all faults of a file at once.", app.Schema)
}

func gatewaySettingsReference() (string, error) {
	return settings.Reference("Settings of a gateway instance",
		"`hyssopctl settings-reference --gateway` makes this page from `instance/edge/settings.schema.json`.\n"+
			"`hyssopcroft gateway` reads one JSON file at its start, whose path is in `HYSSOPCROFT_CONFIG`; the platform\n"+
			"renders it from `deploy/settings.json.tmpl`. `hyssopctl check --gateway FILE` reports all faults at once.\n"+
			"SIGHUP checks the file again: settings of a process take effect at its next start, and the log says so.", edge.Schema)
}
