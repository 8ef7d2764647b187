//! Template inheritance, parameters, and the merging of instances with templates.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;

use toml::de::DeValue;

use sablebay_model::ServiceId;

use crate::finding::Findings;
use crate::nearest::nearest_name;
use crate::section::{Layer, Place, Section, layer, placeholder};
use crate::service::{ServiceSettings, read_service};

/// Templates by name, with the position of the name and the keys.
pub type Templates<'a> = BTreeMap<&'a str, (Range<usize>, Layer<'a>)>;

/// Keys of templates and instances that are not service settings.
const STRUCTURAL_KEYS: [&str; 3] = ["extends", "template", "parameters"];

/// Validates the keys and the inheritance chain of each template.
pub fn check_templates(findings: &Findings, templates: &Templates<'_>) {
    for (name, (place, keys)) in templates {
        let title = format!("template `{name}`");
        let section = Section::new(findings, title, place.clone(), keys.clone()).allow_placeholders();
        section.raw("extends");
        read_service(&section, ServiceId::new(name), Vec::new());
        inheritance_chain(findings, templates, name);
    }
}

/// Returns a template and its ancestors, nearest first. Stops at a cycle or an unknown name.
fn inheritance_chain<'a>(findings: &Findings, templates: &Templates<'a>, start: &str) -> Vec<&'a str> {
    let mut names = Vec::new();
    let mut seen = BTreeSet::new();
    let mut next = start;
    while let Some((name, (_, keys))) = templates.get_key_value(next) {
        seen.insert(*name);
        names.push(*name);
        let Some(place) = keys.get("extends") else {
            break;
        };
        let Some(parent) = place.value.as_str() else {
            findings.add(
                &place.range(),
                format!("template `{name}`: `extends` is not a string"),
                "a template's name",
            );
            break;
        };
        if seen.contains(parent) {
            let message = format!("template `{name}` extends `{parent}`, which leads back to it");
            findings.add(&place.range(), message, "an acyclic chain of templates");
            break;
        }
        if !templates.contains_key(parent) {
            report_unknown_template(findings, templates, &place.range(), parent);
        }
        next = parent;
    }
    names
}

fn report_unknown_template(findings: &Findings, templates: &Templates<'_>, place: &Range<usize>, name: &str) {
    let nearest = nearest_name(name, templates.keys().copied());
    findings.add_with_nearest(place, format!("there is no template `{name}`"), "a template's name", nearest);
}

/// Reads an instance: merges its keys over those of its templates and substitutes parameters.
pub fn read_instance<'a>(
    findings: &'a Findings,
    templates: &Templates<'a>,
    name: &str,
    place: &Range<usize>,
    own: &Layer<'a>,
) -> ServiceSettings {
    let title = format!("instance `{name}`");
    let names = match own.get("template").and_then(|place| place.value.as_str()) {
        Some(template) if templates.contains_key(template) => {
            inheritance_chain(findings, templates, template)
        }
        Some(template) => {
            report_unknown_template(findings, templates, &own["template"].range(), template);
            Vec::new()
        }
        None => {
            let message = format!("{title}: `template` is missing");
            findings.add(place, message, "a template's name");
            Vec::new()
        }
    };
    let mut merged = Layer::new();
    for template in names.iter().rev() {
        let (_, keys) = &templates[template];
        merged.extend(keys.iter().map(|(key, place)| (*key, *place)));
    }
    merged.extend(own.iter().map(|(key, place)| (*key, *place)));
    merged.retain(|key, _| !STRUCTURAL_KEYS.contains(key));
    let is_inherited =
        |key: &&str, place: &Place<'_>| !own.contains_key(key) && placeholder(place.value).is_none();
    let inherited = merged.iter().filter(|(key, place)| is_inherited(key, place));
    let inherited = inherited.map(|(key, _)| (*key).to_string()).collect();
    substitute_parameters(findings, &title, place, own, &mut merged);
    let section = Section::new(findings, title, place.clone(), merged).with_inherited(inherited);
    let names = names.into_iter().map(str::to_string).collect();
    let settings = read_service(&section, ServiceId::new(name), names);
    section.missing("index", "an index's name");
    settings
}

/// Replaces `${name}` placeholders with the parameters of the instance.
fn substitute_parameters<'a>(
    findings: &Findings,
    title: &str,
    place: &Range<usize>,
    own: &Layer<'a>,
    merged: &mut Layer<'a>,
) {
    let parameters = parameters_of(findings, title, own);
    let mut used = BTreeSet::new();
    let mut unresolved = Vec::new();
    for (key, value) in merged.iter_mut() {
        let Some(name) = placeholder(value.value) else {
            continue;
        };
        used.insert(name);
        match parameters.get(name) {
            Some(given) => *value = *given,
            None => {
                let message = format!("{title}: `{key}` needs the parameter `{name}`, which is not given");
                let nearest = nearest_name(name, parameters.keys().copied());
                findings.add_with_nearest(place, message, "a value under `parameters`", nearest);
                unresolved.push(*key);
            }
        }
    }
    merged.retain(|key, _| !unresolved.contains(key));
    for (name, value) in &parameters {
        if !used.contains(name) {
            let message = format!("{title}: the parameter `{name}` is not used by its template");
            let nearest = nearest_name(name, used.iter().copied());
            let range = value.key_start..value.key_start;
            findings.add_with_nearest(&range, message, "a parameter of the template", nearest);
        }
    }
}

fn parameters_of<'a>(findings: &Findings, title: &str, own: &Layer<'a>) -> Layer<'a> {
    let Some(place) = own.get("parameters") else {
        return Layer::new();
    };
    let DeValue::Table(table) = place.value else {
        let message = format!("{title}: `parameters` is a {}", place.value.type_str());
        findings.add(&place.range(), message, "a table");
        return Layer::new();
    };
    layer(table)
}
