package merlinctl

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// applyOptions are the flags of apply.
type applyOptions struct {
	files  []string
	yes    bool
	dryRun bool
	wait   waitOptions
}

func (tool *tool) applyCommand() *cobra.Command {
	options := &applyOptions{}
	command := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Create or change the objects of a file, after showing the difference",
		Long: `Create or change templates, tenants and services from YAML files.

Each document has kind (Template, Tenant or Service), name, tenant for a
Service, and spec. The difference to the current objects is shown first and
must be confirmed, or accepted in advance with --yes. A change that another
operator made meanwhile is not overwritten: apply stops with exit code 6.`,
		Args: cobra.NoArgs,
		RunE: tool.run(func(ctx context.Context, api *client.Client, _ []string) error {
			return tool.apply(ctx, api, options)
		}),
	}
	flags := command.Flags()
	flags.StringSliceVarP(&options.files, "file", "f", nil, `YAML file, or "-" for the standard input`)
	flags.BoolVarP(&options.yes, "yes", "y", false, "do not ask")
	flags.BoolVar(&options.dryRun, "dry-run", false, "show the difference, check it at the leader, and change nothing")
	options.wait.addFlags(flags, "wait until the changes are in force on every leased balancer")
	_ = command.MarkFlagRequired("file")
	return command
}

// plannedChange is one document with its difference to the current object.
type plannedChange struct {
	document *document
	// base is the current revision of the object; zero when the object does not exist.
	base model.Revision
	// diff is the line difference of both specs; empty when they are equal.
	diff string
}

func (tool *tool) apply(ctx context.Context, api *client.Client, options *applyOptions) error {
	documents, err := tool.readFiles(options.files)
	if err != nil {
		return err
	}
	var changes []plannedChange
	for _, document := range documents {
		change, err := planChange(ctx, api, document)
		if err != nil {
			return fmt.Errorf("%s: %w", document.location, err)
		}
		tool.showChange(change)
		if change.diff != "" {
			changes = append(changes, change)
		}
	}
	if len(changes) == 0 {
		return nil
	}
	if options.dryRun {
		return tool.checkAll(ctx, api, changes)
	}
	if err := tool.confirm(options.yes, fmt.Sprintf("Apply %d changes?", len(changes))); err != nil {
		return err
	}
	last, err := tool.applyAll(ctx, api, changes)
	if err != nil || !options.wait.enabled {
		return err
	}
	return tool.waitInForce(ctx, api, last, options.wait.limit)
}

func (tool *tool) readFiles(names []string) ([]*document, error) {
	var documents []*document
	for _, name := range names {
		read, err := tool.readFile(name)
		if err != nil {
			return nil, err
		}
		documents = append(documents, read...)
	}
	return documents, nil
}

func (tool *tool) readFile(name string) ([]*document, error) {
	if name == "-" {
		return readDocuments("standard input", tool.input)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, faults.New(faults.CodeUsage, "%v", err)
	}
	defer file.Close()
	return readDocuments(name, file)
}

// planChange compares a document with the current object.
func planChange(ctx context.Context, api *client.Client, document *document) (plannedChange, error) {
	change := plannedChange{document: document}
	current, desired, err := currentAndDesired(ctx, api, document, &change.base)
	if client.Code(err) == faults.CodeNotFound {
		current, err = nil, nil
	}
	if err != nil {
		return plannedChange{}, err
	}
	before := ""
	if current != nil {
		if before, err = canonicalJSON(current); err != nil {
			return plannedChange{}, err
		}
	}
	after, err := canonicalJSON(desired)
	if err != nil {
		return plannedChange{}, err
	}
	change.diff = lineDifference(before, after)
	return change, nil
}

// currentAndDesired returns the current and the desired spec of a document, and sets base to the
// current revision. When the object does not exist, the error has faults.CodeNotFound, and desired
// is still set.
func currentAndDesired(ctx context.Context, api *client.Client, document *document, base *model.Revision) (current, desired any, err error) {
	switch document.Kind {
	case kindTemplate:
		template, err := api.Template(ctx, document.Name)
		if err != nil {
			return nil, document.template, err
		}
		*base = template.Revision
		return template.Latest().Spec, document.template, nil
	case kindTenant:
		tenant, err := api.Tenant(ctx, model.TenantName(document.Name))
		if err != nil {
			return nil, document.tenant, err
		}
		*base = tenant.Revision
		return tenant.Spec, document.tenant, nil
	}
	service, err := api.Service(ctx, document.serviceKey())
	if err != nil {
		return nil, document.service, err
	}
	*base = service.Revision
	desiredSpec, err := withLatestVersion(ctx, api, document.service)
	return service.Spec, desiredSpec, err
}

// withLatestVersion sets the template version of a spec that names none to the latest one.
func withLatestVersion(ctx context.Context, api *client.Client, spec adminapi.ServiceSpec) (adminapi.ServiceSpec, error) {
	if spec.Template.Version != 0 {
		return spec, nil
	}
	template, err := api.Template(ctx, spec.Template.Name)
	if err != nil {
		return spec, err
	}
	spec.Template.Version = template.Latest().Version
	return spec, nil
}

func (tool *tool) showChange(change plannedChange) {
	switch {
	case change.diff == "":
		fmt.Fprintf(tool.output, "%s: unchanged\n", change.document.objectName())
	case change.base == 0:
		fmt.Fprintf(tool.output, "%s: new\n%s", change.document.objectName(), change.diff)
	default:
		fmt.Fprintf(tool.output, "%s: changed\n%s", change.document.objectName(), change.diff)
	}
}

// confirm asks the operator, unless yes is set. It returns errDeclined unless the answer is "y" or
// "yes"; input that ends without an answer declines.
func (tool *tool) confirm(yes bool, question string) error {
	if yes {
		return nil
	}
	fmt.Fprintf(tool.output, "%s [y/N] ", question)
	line, err := bufio.NewReader(tool.input).ReadString('\n')
	if err != nil && err != io.EOF {
		return fmt.Errorf("read the answer: %w", err)
	}
	switch strings.ToLower(strings.TrimSpace(line)) {
	case "y", "yes":
		return nil
	}
	return errDeclined
}

// checkAll validates the changes at the leader without committing them. An object that depends on
// a new object of the same file cannot be validated before that one exists; a line of output says so.
func (tool *tool) checkAll(ctx context.Context, api *client.Client, changes []plannedChange) error {
	creates := false
	for _, change := range changes {
		err := change.check(ctx, api)
		if client.Code(err) == faults.CodeNotFound && creates {
			fmt.Fprintf(tool.output, "%s: not checked, because it needs an object that is new in the same file\n", change.document.objectName())
			continue
		}
		if err != nil {
			return fmt.Errorf("%s: %w", change.document.location, err)
		}
		creates = creates || change.base == 0
	}
	fmt.Fprintln(tool.output, "dry run: nothing was changed")
	return nil
}

func (change plannedChange) check(ctx context.Context, api *client.Client) error {
	switch change.document.Kind {
	case kindTemplate:
		return api.CheckTemplate(ctx, change.document.Name, change.document.template)
	case kindTenant:
		return api.CheckTenant(ctx, model.TenantName(change.document.Name), change.document.tenant)
	}
	return api.CheckService(ctx, change.document.serviceKey(), change.document.service)
}

// applyAll sends the changes in order and returns the highest revision they were committed at. It
// stops at the first failed change; those before it stay committed.
func (tool *tool) applyAll(ctx context.Context, api *client.Client, changes []plannedChange) (model.Revision, error) {
	var last model.Revision
	for index, change := range changes {
		answer, err := change.send(ctx, api)
		if err != nil {
			return last, fmt.Errorf("%s: %d of %d changes were applied: %w", change.document.location, index, len(changes), err)
		}
		fmt.Fprintf(tool.output, "%s: committed at revision %d\n", change.document.objectName(), answer.Revision)
		last = max(last, answer.Revision)
	}
	return last, nil
}

func (change plannedChange) send(ctx context.Context, api *client.Client) (adminapi.ChangeAnswer, error) {
	precondition := client.Change{Base: change.base}
	switch change.document.Kind {
	case kindTemplate:
		return api.PutTemplate(ctx, change.document.Name, precondition, change.document.template)
	case kindTenant:
		return api.PutTenant(ctx, model.TenantName(change.document.Name), precondition, change.document.tenant)
	}
	return api.PutService(ctx, change.document.serviceKey(), precondition, change.document.service)
}
