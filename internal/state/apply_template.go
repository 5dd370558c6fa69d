package state

import (
	"slices"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// checkBase compares the revision that the change is based on with the object's
// current revision, which is zero if the object does not exist. It returns a refusal
// and false if they differ.
func (change Change) checkBase(currentRevision model.Revision) (Result, bool) {
	if change.Base == currentRevision {
		return Result{}, true
	}
	refusal := refuse(faults.CodeRevisionMismatch, "the change is based on revision %d, the present one is %d", change.Base, currentRevision)
	if currentRevision == 0 {
		refusal = refuse(faults.CodeRevisionMismatch, "the change is based on revision %d, but there is no such object", change.Base)
	}
	refusal.Revision = currentRevision
	return refusal, false
}

// apply creates the template or adds a version to it.
func (command PutTemplate) apply(transaction *transaction) Result {
	var errors fieldErrors
	errors.checkName("name", command.Name)
	errors = append(errors, CheckTemplate(command.Spec)...)
	if len(errors) > 0 {
		return refuseFields("the template is not valid", errors)
	}
	existing, known := transaction.view.templates.get(command.Name)
	if !known {
		existing = &Template{Name: command.Name}
	}
	if refusal, matches := command.checkBase(existing.Revision); !matches {
		return refusal
	}
	if !known && transaction.view.templates.length() >= MaximumTemplates {
		return refuse(faults.CodeQuotaExceeded, "there are %d templates already", MaximumTemplates)
	}
	versions, hasRoom := transaction.versionsWithRoom(existing)
	if !hasRoom {
		return refuse(faults.CodeQuotaExceeded, "all %d versions of the template are in use", MaximumTemplateVersions)
	}
	version := nextVersion(existing)
	transaction.view.templates.set(command.Name, &Template{
		Name:     command.Name,
		Revision: transaction.revision,
		Versions: append(versions, TemplateVersion{
			Version:   version,
			Spec:      command.Spec,
			Revision:  transaction.revision,
			CreatedBy: command.Actor,
			CreatedAt: transaction.now,
		}),
	})
	return Result{Revision: transaction.revision, Version: version}
}

func nextVersion(template *Template) uint32 {
	if len(template.Versions) == 0 {
		return 1
	}
	return template.Latest().Version + 1
}

// versionsWithRoom returns a copy of the template's versions to which one more can be
// added. If the template has MaximumTemplateVersions, the oldest version that no
// service uses is removed; versionsWithRoom returns false if all are in use.
func (transaction *transaction) versionsWithRoom(template *Template) ([]TemplateVersion, bool) {
	versions := slices.Clone(template.Versions)
	if len(versions) < MaximumTemplateVersions {
		return versions, true
	}
	used := make(map[uint32]bool)
	for _, service := range transaction.view.services.rows {
		if service.Template.Name == template.Name {
			used[service.Template.Version] = true
		}
	}
	for index, version := range versions {
		if !used[version.Version] {
			return slices.Delete(versions, index, index+1), true
		}
	}
	return nil, false
}

func (command DeleteTemplate) apply(transaction *transaction) Result {
	existing, known := transaction.view.templates.get(command.Name)
	if !known {
		return refuse(faults.CodeNotFound, "there is no template %q", truncate(command.Name))
	}
	if refusal, matches := command.checkBase(existing.Revision); !matches {
		return refusal
	}
	for _, service := range transaction.view.services.sorted(func(left, right *ServiceRecord) int { return left.Key.compare(right.Key) }) {
		if service.Template.Name == command.Name {
			return refuse(faults.CodeConflict, "service %q of tenant %q uses the template", service.Key.Name, service.Key.Tenant)
		}
	}
	transaction.view.templates.remove(command.Name)
	return Result{Revision: transaction.revision}
}
