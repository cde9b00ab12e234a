//! Validates settings against their schema.

use ini::{Ini, Properties};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{Problem, Problems, relation::check_relations, value::parse_value};

/// Maximum size of a settings file.
const MAX_FILE_BYTES: usize = 1024 * 1024;

const SCHEMA: &str = include_str!("../../schema/settings.json");

/// Reads the settings of one program from the bytes of an INI file.
///
/// `root` is the name of the program's type in the schema, for example `Node`.
///
/// # Errors
///
/// Returns every problem found, each with its file, section, key, value and a message
/// that describes what is allowed.
///
/// # Panics
///
/// Panics when the schema has no type named `root`.
///
/// # Examples
///
/// ```
/// use lentilshunt_schema::{ini, settings};
///
/// let text = b"[platform]\naddress = 127.0.0.1:9\n";
/// let operator: settings::Operator = ini::read("Operator", "operator.ini", text)?;
/// assert_eq!(operator.platform.address, "127.0.0.1:9");
/// # Ok::<(), ini::Problems>(())
/// ```
pub fn read<T: DeserializeOwned>(root: &str, file: &str, bytes: &[u8]) -> Result<T, Problems> {
    let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is valid JSON");
    let mut validator = Validator {
        file,
        definitions: &schema["definitions"],
        problems: Vec::new(),
    };
    let value = validator.validate(root, bytes);
    if validator.problems.is_empty() {
        validator.problems = check_relations(file, &value);
    }
    if !validator.problems.is_empty() {
        return Err(Problems(validator.problems));
    }
    serde_json::from_value(value)
        .map_err(|error| Problems(vec![Problem::new(file, error.to_string())]))
}

/// Validates the settings of one file and collects the problems.
struct Validator<'a> {
    file: &'a str,
    definitions: &'a Value,
    problems: Vec<Problem>,
}

impl<'a> Validator<'a> {
    /// Returns the settings as JSON, with defaults for omitted sections and keys.
    fn validate(&mut self, root: &str, bytes: &[u8]) -> Value {
        let definition = &self.definitions[root];
        assert!(definition.is_object(), "the schema has no type {root}");
        let mut result = Map::new();
        let Some(ini) = self.parse(bytes) else {
            return Value::Null;
        };
        for (name, properties) in &ini {
            self.add_section(definition, name, properties, &mut result);
        }
        for (name, reference) in entries(&definition["properties"]) {
            if !result.contains_key(name) {
                let values = self.section_defaults(name, self.resolve(reference));
                result.insert(name.clone(), values);
            }
        }
        Value::Object(result)
    }

    fn parse(&mut self, bytes: &[u8]) -> Option<Ini> {
        if bytes.len() > MAX_FILE_BYTES {
            let message = format!("the file is longer than {MAX_FILE_BYTES} bytes");
            self.problems.push(Problem::new(self.file, message));
            return None;
        }
        let Ok(text) = std::str::from_utf8(bytes) else {
            let problem = Problem::new(self.file, "the file is not valid UTF-8");
            self.problems.push(problem);
            return None;
        };
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => Some(ini),
            Err(error) => {
                let message = format!("not an INI file: {error}");
                self.problems.push(Problem::new(self.file, message));
                None
            }
        }
    }

    /// Validates a section and adds it to `result`.
    fn add_section(
        &mut self,
        definition: &'a Value,
        name: Option<&str>,
        properties: &Properties,
        result: &mut Map<String, Value>,
    ) {
        let Some(name) = name else {
            if let Some((key, _)) = properties.iter().next() {
                let problem = Problem::new(self.file, "this key is outside any section");
                self.problems.push(problem.key(key));
            }
            return;
        };
        let Some(reference) = definition["properties"].get(name) else {
            let message = format!(
                "unknown section; expected one of {}",
                property_names(definition)
            );
            self.problems
                .push(Problem::new(self.file, message).section(name));
            return;
        };
        if result.contains_key(name) {
            let problem = Problem::new(self.file, "duplicate section; remove one").section(name);
            self.problems.push(problem);
            return;
        }
        let values = self.section_values(name, self.resolve(reference), properties);
        result.insert(name.to_owned(), Value::Object(values));
    }

    /// Validates the keys of a section and returns their values.
    fn section_values(
        &mut self,
        section: &str,
        definition: &'a Value,
        properties: &Properties,
    ) -> Map<String, Value> {
        let mut values = Map::new();
        for (key, text) in properties {
            let problem = |message: String| {
                Problem::new(self.file, message)
                    .section(section)
                    .key(key)
                    .value(text)
            };
            let Some(schema) = definition["properties"].get(key) else {
                let message = format!(
                    "unknown key; expected one of {}",
                    property_names(definition)
                );
                self.problems.push(problem(message));
                continue;
            };
            if values.contains_key(key) {
                self.problems
                    .push(problem("duplicate key; remove one".to_owned()));
                continue;
            }
            match parse_value(schema, text) {
                Ok(value) => {
                    values.insert(key.to_owned(), value);
                }
                Err(message) => {
                    self.problems.push(problem(message));
                    values.insert(key.to_owned(), Value::Null);
                }
            }
        }
        for key in strings(&definition["required"]) {
            if !values.contains_key(key) {
                let problem = Problem::new(self.file, "this key is required");
                self.problems.push(problem.section(section).key(key));
            }
        }
        values
    }

    /// Returns the defaults of an omitted section, and reports its required keys if any.
    fn section_defaults(&mut self, section: &str, definition: &'a Value) -> Value {
        let required: Vec<&str> = strings(&definition["required"]).collect();
        if !required.is_empty() {
            let message = format!(
                "this section is required, with the keys {}",
                required.join(", ")
            );
            self.problems
                .push(Problem::new(self.file, message).section(section));
        }
        let values = entries(&definition["properties"])
            .filter_map(|(key, schema)| Some((key.clone(), schema.get("default")?.clone())))
            .collect();
        Value::Object(values)
    }

    /// Returns the definition that a `$ref` points to.
    fn resolve(&self, reference: &Value) -> &'a Value {
        let path = reference["$ref"].as_str().unwrap_or_default();
        let name = path.rsplit('/').next().unwrap_or_default();
        &self.definitions[name]
    }
}

fn property_names(definition: &Value) -> String {
    let names: Vec<&str> = entries(&definition["properties"])
        .map(|(name, _)| name.as_str())
        .collect();
    names.join(", ")
}

/// Returns the strings of a JSON array.
pub(super) fn strings(list: &Value) -> impl Iterator<Item = &str> {
    list.as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
}

fn entries(object: &Value) -> impl Iterator<Item = (&String, &Value)> {
    object.as_object().into_iter().flatten()
}
