//! The few fields of the completion API that the system reads, without building the whole JSON.

use std::{fmt, ops::Range};

use bytes::{Bytes, BytesMut};
use serde::{
    Deserialize, Deserializer,
    de::{Error as _, IgnoredAny, MapAccess, Visitor},
};
use serde_json::value::RawValue;

/// What is read of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Model that the caller names.
    pub model: String,
    /// Where the model's JSON string stands in the body, in bytes.
    pub span: Range<usize>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
}

/// What is read of an answer, or of one event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Model that ran.
    pub model: String,
    /// Where the model's JSON string stands in the bytes.
    pub span: Range<usize>,
    /// Id of the completion.
    pub id: String,
}

/// The fields as they stand in the text.
#[derive(Default)]
struct Fields<'a> {
    model: Option<&'a RawValue>,
    id: Option<&'a RawValue>,
    stream: bool,
}

struct FieldsVisitor;

impl<'de> Visitor<'de> for FieldsVisitor {
    type Value = Fields<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields<'de>, A::Error> {
        let mut fields = Fields::default();
        while let Some(key) = map.next_key::<Key>()? {
            match key {
                Key::Model if fields.model.is_some() => {
                    return Err(A::Error::custom("`model` is given twice"));
                }
                Key::Model => fields.model = Some(map.next_value()?),
                Key::Id => fields.id = Some(map.next_value()?),
                Key::Stream => fields.stream = map.next_value::<Option<bool>>()?.unwrap_or(false),
                Key::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(fields)
    }
}

impl<'de> Deserialize<'de> for Fields<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FieldsVisitor)
    }
}

enum Key {
    Model,
    Id,
    Stream,
    Other,
}

struct KeyVisitor;

impl Visitor<'_> for KeyVisitor {
    type Value = Key;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a key")
    }

    fn visit_str<E>(self, key: &str) -> Result<Key, E> {
        Ok(match key {
            "model" => Key::Model,
            "id" => Key::Id,
            "stream" => Key::Stream,
            _ => Key::Other,
        })
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(KeyVisitor)
    }
}

fn text(value: Option<&RawValue>, name: &str) -> Result<String, String> {
    let value = value.ok_or_else(|| format!("`{name}` is missing"))?;
    serde_json::from_str(value.get()).map_err(|_| format!("`{name}` must be a string"))
}

/// Position of a raw value in the bytes that it borrows from.
fn span(bytes: &[u8], value: Option<&RawValue>) -> Range<usize> {
    let value = value.map_or("", RawValue::get);
    let start = (value.as_ptr() as usize).wrapping_sub(bytes.as_ptr() as usize);
    if start > bytes.len() {
        return 0..0;
    }
    start..start + value.len()
}

/// Reads a request's body.
///
/// # Errors
///
/// What is wrong with it, for the caller.
pub fn request(body: &[u8]) -> Result<Request, String> {
    let fields: Fields<'_> = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(Request {
        model: text(fields.model, "model")?,
        span: span(body, fields.model),
        stream: fields.stream,
    })
}

/// Reads an answer's body, or the data of one event.
///
/// # Errors
///
/// What is wrong with it.
pub fn answer(body: &[u8]) -> Result<Answer, String> {
    let fields: Fields<'_> = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(Answer {
        model: text(fields.model, "model")?,
        span: span(body, fields.model),
        id: text(fields.id, "id")?,
    })
}

/// Puts another model into the place of the one that was read.
pub fn with_model(body: &[u8], span: &Range<usize>, model: &str) -> Bytes {
    let model = serde_json::Value::from(model).to_string();
    let mut bytes = BytesMut::with_capacity(body.len() + model.len());
    bytes.extend_from_slice(&body[..span.start]);
    bytes.extend_from_slice(model.as_bytes());
    bytes.extend_from_slice(&body[span.end..]);
    bytes.freeze()
}
