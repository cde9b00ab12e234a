//! A reader of JSON, as far as the transactions of the store need it.

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; one that is malformed counts as null.
    pub fn parse(text: &str) -> Self {
        Parser { bytes: text.as_bytes(), at: 0 }.value().unwrap_or(Self::Null)
    }

    /// Returns a field of an object, or null.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Object(fields) => {
                let found = fields.iter().find(|(key, _)| key == name);
                found.map_or(&Self::Null, |(_, value)| value)
            }
            _ => &Self::Null,
        }
    }

    /// Returns the entries of a list, none for another value.
    pub fn entries(&self) -> &[Self] {
        match self {
            Self::List(entries) => entries,
            _ => &[],
        }
    }

    /// Returns a text, empty for another value.
    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number, 0 for another value.
    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        Some(self.bytes[self.at])
    }

    fn take(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    match self.next()? {
                        b'}' => break,
                        b',' => self.at += 1,
                        _ => {
                            let key = self.text()?;
                            (self.next()? == b':').then_some(())?;
                            self.at += 1;
                            fields.push((key, self.value()?));
                        }
                    }
                }
                self.at += 1;
                Some(Json::Object(fields))
            }
            b'[' => {
                self.at += 1;
                let mut entries = Vec::new();
                loop {
                    match self.next()? {
                        b']' => break,
                        b',' => self.at += 1,
                        _ => entries.push(self.value()?),
                    }
                }
                self.at += 1;
                Some(Json::List(entries))
            }
            b'"' => self.text().map(Json::Text),
            b't' => self.take("true", Json::Bool(true)),
            b'f' => self.take("false", Json::Bool(false)),
            b'n' => self.take("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn text(&mut self) -> Option<String> {
        (self.next()? == b'"').then_some(())?;
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?);
                            let code = u32::from_str_radix(digits.ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let decoded = char::from_u32(code)?.encode_utf8(&mut buffer);
                            text.extend(decoded.bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}
