//! Checks settings against their schema.

use ini::{Ini, Properties};
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{Problem, Problems, relation::relations, value::parse_value};

/// Longest settings file, in bytes.
const MAX_FILE_BYTES: usize = 1024 * 1024;

const SCHEMA: &str = include_str!("../../schema/settings.json");

/// Reads the settings of one program from the bytes of an INI file.
///
/// `root` is the name of the program's type in the schema, for example `Node`.
///
/// # Errors
///
/// Returns every problem found, each with file, section, key, value and what
/// would be right.
///
/// # Panics
///
/// Panics when the schema has no type of the name `root`.
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
    let schema: Value = serde_json::from_str(SCHEMA).expect("the schema is JSON");
    let mut check = Check {
        file,
        definitions: &schema["definitions"],
        problems: Vec::new(),
    };
    let value = check.program(root, bytes);
    if check.problems.is_empty() {
        check.problems = relations(file, &value);
    }
    if !check.problems.is_empty() {
        return Err(Problems(check.problems));
    }
    serde_json::from_value(value)
        .map_err(|error| Problems(vec![Problem::new(file, error.to_string())]))
}

struct Check<'a> {
    file: &'a str,
    definitions: &'a Value,
    problems: Vec<Problem>,
}

impl<'a> Check<'a> {
    fn program(&mut self, root: &str, bytes: &[u8]) -> Value {
        let definition = &self.definitions[root];
        assert!(definition.is_object(), "no settings of the name {root}");
        let mut result = Map::new();
        let Some(ini) = self.parse(bytes) else {
            return Value::Null;
        };
        for (name, properties) in &ini {
            self.section(definition, name, properties, &mut result);
        }
        for (name, reference) in entries(&definition["properties"]) {
            if !result.contains_key(name) {
                let values = self.absent(name, self.resolve(reference));
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
            let problem = Problem::new(self.file, "the file is not UTF-8 text");
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

    fn section(
        &mut self,
        definition: &'a Value,
        name: Option<&str>,
        properties: &Properties,
        result: &mut Map<String, Value>,
    ) {
        let Some(name) = name else {
            if let Some((key, _)) = properties.iter().next() {
                let problem = Problem::new(self.file, "this key stands before any section");
                self.problems.push(problem.key(key));
            }
            return;
        };
        let Some(reference) = definition["properties"].get(name) else {
            let message = format!("unknown section; known are {}", known(definition));
            self.problems
                .push(Problem::new(self.file, message).section(name));
            return;
        };
        if result.contains_key(name) {
            let problem = Problem::new(self.file, "this section stands twice").section(name);
            self.problems.push(problem);
            return;
        }
        let values = self.keys(name, self.resolve(reference), properties);
        result.insert(name.to_owned(), Value::Object(values));
    }

    fn keys(
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
                let message = format!("unknown key; known are {}", known(definition));
                self.problems.push(problem(message));
                continue;
            };
            if values.contains_key(key) {
                self.problems
                    .push(problem("this key stands twice".to_owned()));
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
        for key in names(&definition["required"]) {
            if !values.contains_key(key) {
                let problem = Problem::new(self.file, "this key is required");
                self.problems.push(problem.section(section).key(key));
            }
        }
        values
    }

    /// Returns the defaults of a section that is left out, unless it has required keys.
    fn absent(&mut self, section: &str, definition: &'a Value) -> Value {
        let required: Vec<&str> = names(&definition["required"]).collect();
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

    fn resolve(&self, reference: &Value) -> &'a Value {
        let path = reference["$ref"].as_str().unwrap_or_default();
        let name = path.rsplit('/').next().unwrap_or_default();
        &self.definitions[name]
    }
}

fn known(definition: &Value) -> String {
    let names: Vec<&str> = entries(&definition["properties"])
        .map(|(name, _)| name.as_str())
        .collect();
    names.join(", ")
}

/// Returns the texts of a list.
pub(super) fn names(list: &Value) -> impl Iterator<Item = &str> {
    list.as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
}

fn entries(object: &Value) -> impl Iterator<Item = (&String, &Value)> {
    object.as_object().into_iter().flatten()
}
